package relayer

import (
	"context"
	"net/netip"
)

// cleanPool closes idle connections that have expired or whose upstream is gone.
func (r *Relayer) cleanPool(context.Context) {
	r.mu.Lock()
	idleLimits := r.idleLimits
	r.mu.Unlock()
	r.pool.retain(func(a netip.AddrPort) bool { return idleLimits[a] > 0 })
}
