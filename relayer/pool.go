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

	"celeryvalve/identifier"
)

const (
	// maxIdleConnections is the maximum number of idle connections to one upstream: twice
	// the number that one entry uses at a time when an engine is fully loaded.
	maxIdleConnections = 16
	// defaultIdleConnections is the limit if the service does not declare how many
	// connections an upstream accepts.
	defaultIdleConnections = 2
	// connectionSharesPerEntry divides the number of connections that an upstream accepts
	// from all callers: each entry has one share for its idle connections, and one for
	// its requests in flight. An upstream resets connections beyond its limit, together
	// with the requests on them.
	connectionSharesPerEntry = 2
	// defaultIdleTime is how long an idle connection is kept if the upstream sends no
	// Keep-Alive timeout.
	defaultIdleTime = 4 * time.Second
	// idleTimeMargin is subtracted from the Keep-Alive timeout to allow for the
	// network delay. It is also the shortest idle timeout.
	idleTimeMargin = 500 * time.Millisecond
)

// pool keeps idle connections to upstreams for reuse.
type pool struct {
	clock clockwork.Clock

	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
}

func newPool(clock clockwork.Clock) *pool {
	return &pool{clock: clock, idle: make(map[netip.AddrPort][]*connection)}
}

// get returns the most recently used idle connection that is reusable, or a new
// connection if there is none. A connection that has carried a request with the same attempt
// id is closed: an extra response to that request could not be told from the response to
// this one.
func (p *pool) get(ctx context.Context, addr netip.AddrPort, attempt identifier.AttemptID) (*connection, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			return dial(ctx, p.clock, addr)
		}
		if !c.hasCarried(attempt) && c.reusable(p.clock.Now()) {
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

// idleConnectionLimit returns how many idle connections this entry keeps to an
// upstream that accepts maxConnections from all callers together, while there are this
// many entries. Where there is less than one for each, it is 0. A maxConnections of 0 means
// that the number is not known.
func idleConnectionLimit(maxConnections, entries int) int {
	if maxConnections <= 0 {
		return defaultIdleConnections
	}
	return min(maxIdleConnections, maxConnections/(connectionSharesPerEntry*entries))
}

// put adds a connection whose response was read completely, or closes it if limit
// connections to addr are idle already. h is the header of that response.
func (p *pool) put(addr netip.AddrPort, c *connection, h http.Header, limit int) {
	c.idleSince = p.clock.Now()
	c.idleTimeout = keepAliveTimeout(h.Get("Keep-Alive"))
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= limit {
		c.close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// keepAliveTimeout returns how long a connection may stay idle under a Keep-Alive
// header such as "timeout=5, max=100". The timeout is in seconds.
func keepAliveTimeout(text string) time.Duration {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.Trim(value, `"`)); err == nil && seconds > 0 {
			return max(idleTimeMargin, time.Duration(seconds)*time.Second-idleTimeMargin)
		}
	}
	return defaultIdleTime
}

// retain closes the idle connections whose idle timeout has passed and those to
// addresses that are not known.
func (p *pool) retain(known func(netip.AddrPort) bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if known(addr) && now.Sub(c.idleSince) <= c.idleTimeout {
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

// close closes all idle connections.
func (p *pool) close() {
	p.retain(func(netip.AddrPort) bool { return false })
}
