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
	// idleMost is how many idle connections are kept to one upstream at most: what
	// one entry uses at once of a full engine, twice over.
	idleMost = 16
	// idleUnknown is the same where it is not declared how many connections an
	// upstream takes.
	idleUnknown = 2
	// idleShare is into how many shares the connections that an upstream takes from
	// all callers are cut: one for the idle ones of each of 16 entries, and as many
	// for requests under way. Upstreams reset what is beyond, with the request on it.
	idleShare = 32
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

// idleLimit returns how many idle connections this entry keeps to an upstream that
// takes so many from all callers together.
func idleLimit(declared int) int {
	if declared <= 0 {
		return idleUnknown
	}
	return min(idleMost, max(1, declared/idleShare))
}

// put keeps a connection whose answer was read whole, up to the limit.
func (p *pool) put(addr netip.AddrPort, c *connection, h http.Header, limit int) {
	c.idleSince = p.clock.Now()
	c.idleLimit = keepAliveLimit(h.Get("Keep-Alive"))
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= limit {
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
