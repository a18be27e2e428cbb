package coordinator

import "net/netip"

// Poster posts messages: Post sends msg without blocking, or drops it.
type Poster interface {
	Post(addr netip.AddrPort, msg any)
}

// NewTransport returns a Transport that sends its messages with p.
func NewTransport(p Poster) Transport {
	return posterTransport{p}
}

type posterTransport struct {
	poster Poster
}

// Send sends the message or drops it.
func (t posterTransport) Send(to netip.AddrPort, msg any) {
	t.poster.Post(to, msg)
}
