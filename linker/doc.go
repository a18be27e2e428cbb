// Package linker is a stand-in of a network link: it forwards TCP connections
// and UDP packets with a rate, a one-way delay and faults that are set while it
// runs. It serves failure tests and measurements and is no part of the product.
//
// All forwards of one Link share its rate, which holds for each direction by
// itself. The faults are:
//
//   - Cut: connections are closed, new ones refused, packets dropped.
//   - Freeze: everything is held; TCP goes on where it stopped after a thaw,
//     packets sent meanwhile are dropped.
//   - Loss: a share of the packets is dropped without a word. TCP is not affected.
//   - Silence: connections that are open now go silent for good on both sides,
//     without a close, while new ones work. Over UDP, connections are told apart
//     by the destination connection id of QUIC's short headers.
//
// # Usage
//
//	link := linker.New(linker.Settings{Rate: 2.5e6, Delay: imitator.Duration(time.Millisecond)}, 1, clock)
//	go link.ForwardTCP(ctx, linker.Forward{Listen: "127.0.2.1:7000", Target: "127.0.1.1:7000"})
//	link.Set(linker.Settings{Cut: true})
//	http.ListenAndServe("127.0.2.1:7001", link.Handler())
package linker
