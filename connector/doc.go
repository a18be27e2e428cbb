// Package connector carries typed messages between the processes of the system
// over QUIC with mutual TLS.
//
// An Endpoint owns one UDP socket, on which it both listens and dials. It keeps
// one connection to each address it deals with, replaces it when it goes silent
// or ends, and lets go of it after a while without use. Every exchange is one
// stream whose first message selects the handler at the other end.
//
// Frames are a length of four bytes, big-endian, and the frame of the codec. A
// frame carries the sender's configuration version, which is reported to the
// Versions of the receiver before the message is handled.
//
// # Usage
//
//	e, err := connector.New(cfg, codec, source, versions, logger)
//	e.Handle("Greeting", func(ctx context.Context, s *connector.Stream, first any) {
//		_ = s.Send(&Reply{})
//	})
//	err = e.Start()
//	answer, err := e.Call(ctx, addr, &Greeting{})
package connector
