// Package linker emulates a network link. It forwards TCP connections and UDP packets
// with a limited rate, a one-way delay and faults, all of which can be changed while it
// runs. It is used by failure tests and measurements and is not part of the product.
//
// All forwards of one Link share its rate. The rate limits each direction separately.
// The faults are:
//
//   - Cut: open TCP connections are closed, new ones are closed at once, and UDP
//     packets are dropped.
//   - Freeze: TCP data is held and delivered after the freeze has ended. UDP packets
//     that are sent during the freeze are dropped.
//   - Loss: a fraction of the UDP packets is dropped. TCP is not affected.
//   - Silence: the connections that are open at that time deliver no more data in
//     either direction and are not closed. New connections work. Over UDP, connections
//     are distinguished by the destination connection ID in the short headers of QUIC.
//
// # Usage
//
//	link := linker.New(linker.Settings{Rate: 2.5e6, Delay: imitator.Duration(time.Millisecond)}, 1, clock)
//	go link.ForwardTCP(ctx, linker.Forward{Listen: "127.0.2.1:7000", Target: "127.0.1.1:7000"})
//	link.Set(linker.Settings{Cut: true})
//	http.ListenAndServe("127.0.2.1:7001", link.Handler())
package linker
