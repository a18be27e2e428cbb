package coordinator

import "net/netip"

// Poster sends a message without waiting, or drops it.
type Poster interface {
	Post(addr netip.AddrPort, msg any)
}

// Through returns a transport over the poster.
func Through(p Poster) Transport {
	return through{p}
}

type through struct {
	poster Poster
}

// Send sends the message or drops it.
func (t through) Send(to netip.AddrPort, msg any) {
	t.poster.Post(to, msg)
}
