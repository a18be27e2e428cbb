package relayer

import (
	"context"
	"net/netip"
)

// tidy drops idle connections that will not be used any more.
func (r *Relayer) tidy(context.Context) {
	r.mu.Lock()
	known := r.known
	r.mu.Unlock()
	r.pool.retain(func(a netip.AddrPort) bool { return known[a] > 0 })
}
