package relayer

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/repeater"
)

const (
	// defaultHeaderBytes, defaultBodyBytes, defaultHeaderTimeout and
	// defaultIdleTimeout hold until limits are declared.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// idleMarginServer is added to the declared idle time, so that a caller that
	// reuses a connection just before it never meets its end.
	idleMarginServer = 2 * time.Second
	// poolInterval is how often idle connections are looked through.
	poolInterval = time.Second
	// unreadyRetryAfter is when callers come back to an entry without a declaration.
	unreadyRetryAfter = 500 * time.Millisecond
)

// Relayer serves the callers of one entry.
type Relayer struct {
	dialect Dialect
	clock   clockwork.Clock
	log     *zap.Logger
	meters  *meters
	pool    *pool
	tidier  *repeater.Repeater

	index    atomic.Pointer[declarer.Index]
	draining atomic.Bool

	mu      sync.Mutex
	reducer *balancer.Reducer
	// patience is the longest time that callers of a route were seen to wait.
	patience map[identifier.Route]time.Duration
	// known are the addresses of upstreams, with how many idle connections are kept.
	known   map[netip.AddrPort]int
	random  uint64
	serving int
}

// New returns a relayer that refuses everything until Declare. seed spreads the
// choices of different entries.
func New(reducer *balancer.Reducer, dialect Dialect, clock clockwork.Clock, set *metrics.Set, log *zap.Logger, seed uint64) *Relayer {
	r := &Relayer{
		dialect:  dialect,
		clock:    clock,
		log:      log.Named("relayer"),
		meters:   newMeters(set),
		pool:     newPool(clock),
		reducer:  reducer,
		patience: make(map[identifier.Route]time.Duration),
		known:    make(map[netip.AddrPort]int),
		random:   seed,
	}
	r.tidier = repeater.New(clock, poolInterval, r.tidy)
	return r
}

// Start begins to look after idle connections.
func (r *Relayer) Start() {
	r.tidier.Start()
}

// Stop drops all idle connections.
func (r *Relayer) Stop() {
	r.tidier.Stop()
	r.pool.close()
}

// Declare takes over what is declared.
func (r *Relayer) Declare(index *declarer.Index, policies []balancer.ServicePolicy) {
	r.reduce(balancer.PolicyChanged{Services: policies})
	r.index.Store(index)
}

// ChangeUpstreams takes over the upstreams that may be chosen.
func (r *Relayer) ChangeUpstreams(views []balancer.UpstreamView) {
	services := make(map[identifier.Service]declarer.Service)
	if index := r.index.Load(); index != nil {
		services = index.Declaration.Services
	}
	known := make(map[netip.AddrPort]int, len(views))
	for _, v := range views {
		known[v.Address] = idleLimit(services[v.Service].MaximumConnections)
	}
	r.mu.Lock()
	r.known = known
	r.mu.Unlock()
	r.reduce(balancer.UpstreamsChanged{Upstreams: views})
}

// ObserveLoad takes in what an agent sees of its upstream.
func (r *Relayer) ObserveLoad(upstream identifier.Upstream, load balancer.Load) {
	r.reduce(balancer.LoadObserved{Upstream: upstream, Load: load})
}

// idleLimit returns how many idle connections are kept to the address.
func (r *Relayer) idleLimit(addr netip.AddrPort) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known[addr]
}

// Drain makes callers use new connections elsewhere.
func (r *Relayer) Drain() {
	r.draining.Store(true)
}

// Serving returns how many requests have no answer yet.
func (r *Relayer) Serving() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serving
}

// Server returns the server for callers, with the limits that are declared now.
func (r *Relayer) Server(addr string) *http.Server {
	limits := declarer.Limits{}
	if index := r.index.Load(); index != nil {
		limits = index.Declaration.Limits
	}
	return &http.Server{
		Addr:              addr,
		Handler:           r,
		ReadHeaderTimeout: positive(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       positive(limits.IdleTimeout, defaultIdleTimeout) + idleMarginServer,
		MaxHeaderBytes:    int(positive(int64(limits.HeaderBytes), defaultHeaderBytes)),
		ErrorLog:          zap.NewStdLog(r.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
		ConnState:         r.countConnection,
	}
}

func (r *Relayer) countConnection(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		r.meters.connections.Inc()
	}
}

func positive[T time.Duration | int64](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}

func (r *Relayer) reduce(event balancer.Event) balancer.Effect {
	r.mu.Lock()
	effect := r.reducer.Reduce(r.clock.Now(), event)
	asides := r.reducer.Asides()
	r.mu.Unlock()
	for _, a := range asides {
		r.tellAside(a)
	}
	return effect
}

// tellAside says which upstream is left alone, and why.
func (r *Relayer) tellAside(a balancer.Aside) {
	if a.Until.IsZero() {
		r.log.Info("Upstream serves again.", zap.String("upstream", string(a.Upstream)))
		return
	}
	r.log.Info("Set an upstream aside.", zap.String("upstream", string(a.Upstream)), zap.Time("until", a.Until),
		zap.String("cause", string(a.Cause)), zap.Int("failures", a.Failures))
}

// nextRandom returns a number that no other request of this entry gets.
func (r *Relayer) nextRandom() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.random++
	return r.random
}

// returnedBelow is the part of the longest time that callers of a route wait, below
// which one was refused before. Callers of one route wait for 0.85 to 1 of it on the
// platform.
const returnedBelow = 0.84

// returned reports whether a request with so much time left was refused before. A
// caller counts the time from its first attempt, and Retry-After takes a part of it.
func (r *Relayer) returned(route identifier.Route, remaining time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := r.patience[route]
	if remaining >= longest {
		r.patience[route] = remaining
		return false
	}
	return float64(remaining) < returnedBelow*float64(longest)
}

func (r *Relayer) count(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serving += n
}
