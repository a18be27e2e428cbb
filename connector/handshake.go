package connector

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

const (
	// maxHandshakes is how many connections may be in their handshake at once. Each takes some 70 KB.
	maxHandshakes = 1024
	// validateAbove is the number of handshakes above which a peer must show that it hears this
	// process, before its handshake takes any memory.
	validateAbove = 256
)

// errTooManyHandshakes refuses a connection. Its peer dials again.
var errTooManyHandshakes = errors.New("too many handshakes are in progress (dial again later)")

// handshakes counts the handshakes in progress of connections that peers dial. Before its end a peer
// has not shown a certificate.
type handshakes struct {
	n atomic.Int64
}

// handshakeKey is the context key of the function that ends the handshake of a connection.
type handshakeKey struct{}

// begin counts a handshake until end is called or ctx ends. It returns an error if there are too many.
func (h *handshakes) begin(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if h.n.Add(1) > maxHandshakes {
		h.n.Add(-1)
		return nil, errTooManyHandshakes
	}
	end := sync.OnceFunc(func() { h.n.Add(-1) })
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, handshakeKey{}, end), nil
}

// end ends the handshake of the connection with this context.
func (h *handshakes) end(ctx context.Context) {
	if end, ok := ctx.Value(handshakeKey{}).(func()); ok {
		end()
	}
}

// validate reports whether a peer must show that it hears this process.
func (h *handshakes) validate(net.Addr) bool {
	return h.n.Load() >= validateAbove
}
