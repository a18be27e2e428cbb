// Package connector carries typed messages between the processes of the system
// over QUIC with mutual TLS.
//
// An Endpoint owns one UDP socket, on which it both listens and dials. It shares
// one outgoing connection among all streams to an address. It dials a new one if
// the old one has ended or its peer has stopped answering, and closes a connection
// that has had no streams for 30 seconds. Every exchange is one stream. The kind of
// the first message on the stream selects the handler of the receiver.
//
// On a stream, each message is a length of four bytes, big-endian, followed by a
// frame of that length in the format of package encoder. A frame carries the
// sender's configuration version. The receiver passes the version of each message to
// Versions.Observe, and that of the first message to Versions.Await before it calls
// the handler.
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
