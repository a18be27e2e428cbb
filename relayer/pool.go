package relayer

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// idlePerUpstream is how many idle connections are kept to one upstream: what
	// one entry uses at once of a full engine, twice over.
	idlePerUpstream = 16
	// idleDefault is for how long an idle connection is kept where the upstream
	// does not say.
	idleDefault = 4 * time.Second
	// idleMargin is taken off the time that an upstream says, for the way.
	idleMargin = 500 * time.Millisecond
)

// pool keeps idle connections to upstreams.
type pool struct {
	clock clockwork.Clock

	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
}

func newPool(clock clockwork.Clock) *pool {
	return &pool{clock: clock, idle: make(map[netip.AddrPort][]*connection)}
}

// get returns an idle connection that is clean, the one used last first, or a new
// one.
func (p *pool) get(ctx context.Context, addr netip.AddrPort) (*connection, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			return dial(ctx, addr)
		}
		if c.clean(p.clock.Now()) {
			c.used = true
			return c, nil
		}
		c.close()
	}
}

func (p *pool) pop(addr netip.AddrPort) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// put keeps a connection whose answer was read whole.
func (p *pool) put(addr netip.AddrPort, c *connection, h http.Header) {
	c.idleSince = p.clock.Now()
	c.idleLimit = keepAliveLimit(h.Get("Keep-Alive"))
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= idlePerUpstream {
		c.close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// keepAliveLimit reads the seconds of "timeout=5, max=100".
func keepAliveLimit(text string) time.Duration {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.Trim(value, `"`)); err == nil && seconds > 0 {
			return max(idleMargin, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return idleDefault
}

// retain drops the idle connections that are too old, and all of addresses that
// are no longer known.
func (p *pool) retain(known func(netip.AddrPort) bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if known(addr) && now.Sub(c.idleSince) <= c.idleLimit {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
}

// close drops all idle connections.
func (p *pool) close() {
	p.retain(func(netip.AddrPort) bool { return false })
}
