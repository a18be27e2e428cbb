package relayer

import (
	"context"
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
	"celeryvalve/reader"
	"celeryvalve/repeater"
)

const (
	// poolCleanupInterval is the time between two checks for expired idle connections.
	poolCleanupInterval = time.Second
	// undeclaredRetryAfter is the Retry-After time of an entry that has no declaration yet.
	undeclaredRetryAfter = 500 * time.Millisecond
	// elsewhereRetryAfter is the Retry-After time of an entry that stops or has no memory for
	// the request: other entries take it at once.
	elsewhereRetryAfter = 200 * time.Millisecond
)

// Relayer serves the callers of one entry. It is safe for concurrent use.
type Relayer struct {
	dialect     Dialect
	clock       clockwork.Clock
	log         *zap.Logger
	meters      *meters
	pool        *pool
	poolCleaner *repeater.Repeater
	reporter    CrashReporter
	upstreams   UpstreamRecorder
	memory      *reader.Budget

	index    atomic.Pointer[declarer.Index]
	draining atomic.Bool
	entries  atomic.Int64
	// serving ends with the requests in progress, by endRequests.
	serving     context.Context
	endRequests context.CancelFunc

	mu      sync.Mutex
	reducer *balancer.Reducer
	// maxRemaining is the longest remaining time that a request for each route gave on
	// arrival. It is an estimate of the callers' full timeout.
	maxRemaining map[identifier.Route]time.Duration
	// idleLimits is how many idle connections are kept to each known upstream address.
	idleLimits map[netip.AddrPort]int
	random     uint64
	inFlight   int
	// arrivedAt is when the last request arrived.
	arrivedAt time.Time
}

// New returns a relayer that refuses all requests until Declare is called. seed starts
// the sequence of its random numbers; different seeds make entries choose differently
// among equal upstreams. memory bounds what the bodies of all requests and answers take.
func New(reducer *balancer.Reducer, dialect Dialect, reporter CrashReporter, upstreams UpstreamRecorder, memory *reader.Budget, clock clockwork.Clock, set *metrics.Set, log *zap.Logger, seed uint64) *Relayer {
	r := &Relayer{
		dialect:      dialect,
		clock:        clock,
		log:          log.Named("relayer"),
		meters:       newMeters(set, memory),
		pool:         newPool(clock),
		reporter:     reporter,
		upstreams:    upstreams,
		memory:       memory,
		reducer:      reducer,
		maxRemaining: make(map[identifier.Route]time.Duration),
		idleLimits:   make(map[netip.AddrPort]int),
		random:       seed,
	}
	r.entries.Store(balancer.MinEntries)
	r.serving, r.endRequests = context.WithCancel(context.Background())
	r.poolCleaner = repeater.New(clock, poolCleanupInterval, r.cleanPool)
	return r
}

// Start starts the periodic removal of expired idle connections.
func (r *Relayer) Start() {
	r.poolCleaner.Start()
}

// Stop stops the periodic removal and closes all idle connections.
func (r *Relayer) Stop() {
	r.poolCleaner.Stop()
	r.pool.close()
}

// Declare replaces the declared routes, limits and organisations, and the policies
// of the services.
func (r *Relayer) Declare(index *declarer.Index, policies []balancer.ServicePolicy) {
	r.reduce(balancer.PolicyChanged{Services: policies})
	r.index.Store(index)
}

// ChangeEvacuations replaces the list of availability zones whose upstreams get no requests.
// It must be called before Declare and ChangeUpstreams let the first request through.
func (r *Relayer) ChangeEvacuations(zones []identifier.AvailabilityZone) {
	r.meters.evacuated.Set(float64(len(zones)))
	r.reduce(balancer.EvacuationsChanged{Evacuated: zones})
}

// ChangeUpstreams replaces the list of upstreams that requests may be sent to.
func (r *Relayer) ChangeUpstreams(views []balancer.UpstreamView) {
	services := make(map[identifier.Service]declarer.Service)
	if index := r.index.Load(); index != nil {
		services = index.Declaration.Services
	}
	idleLimits := make(map[netip.AddrPort]int, len(views))
	for _, v := range views {
		idleLimits[v.Address] = idleConnectionLimit(services[v.Service].MaximumConnections, int(r.entries.Load()))
	}
	r.mu.Lock()
	r.idleLimits = idleLimits
	r.mu.Unlock()
	r.reduce(balancer.UpstreamsChanged{Upstreams: views})
}

// ChangeEntries sets the number of entries, for the limits that all of them share.
// retryAllowance is the number of retries that all may send at once. The number of idle
// connections follows with the next list of upstreams.
func (r *Relayer) ChangeEntries(entries int, retryAllowance float64) {
	entries = max(balancer.MinEntries, entries)
	if r.entries.Swap(int64(entries)) != int64(entries) {
		r.log.Info("Number of entries changed.", zap.Int("entries", entries))
	}
	r.reduce(balancer.RetryBurstChanged{Burst: balancer.RetryBurst(retryAllowance, entries)})
}

// ObserveLoad records the load of an upstream that its agent has observed.
func (r *Relayer) ObserveLoad(upstream identifier.Upstream, load balancer.Load) {
	r.reduce(balancer.LoadObserved{Upstream: upstream, Load: load})
}

// ObserveControl records whether control works.
func (r *Relayer) ObserveControl(status balancer.ControlObserved) {
	r.reduce(status)
}

// idleLimit returns how many idle connections are kept to the address.
func (r *Relayer) idleLimit(addr netip.AddrPort) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.idleLimits[addr]
}

// LastArrival returns when the last request of a caller arrived, or zero if none has.
func (r *Relayer) LastArrival() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrivedAt
}

// Drain makes the relayer close each caller's connection after its next response,
// so that callers connect to other entries. Requests are still served, but for those that may
// not have ended at endAt and that may not be repeated or arrive after acceptUntil.
func (r *Relayer) Drain(acceptUntil, endAt time.Time) {
	r.draining.Store(true)
	r.reduce(balancer.DrainStarted{AcceptUntil: acceptUntil, EndAt: endAt})
}

// EndRequests ends the requests in progress: their callers are told that they may have run,
// unless a stream has begun already. It returns how many there were.
func (r *Relayer) EndRequests() int {
	r.endRequests()
	return r.InFlight()
}

// InFlight returns the number of requests in flight.
func (r *Relayer) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inFlight
}

// positiveOr returns value if it is positive, and fallback otherwise.
func positiveOr[T time.Duration | int64](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// reduce passes the event to the reducer, logs the upstreams that it set aside or
// readmitted, and handles what it found out about crashes.
func (r *Relayer) reduce(event balancer.Event) balancer.Effect {
	r.mu.Lock()
	effect := r.reducer.Reduce(r.clock.Now(), event)
	asides := r.reducer.TakeEjectionChanges()
	findings := r.reducer.TakeCrashFindings()
	limits := r.reducer.TakeLimitChanges()
	notices := r.reducer.TakeNotices()
	colds := r.reducer.TakeColdChanges()
	speeds := r.reducer.TakeSpeedChanges()
	r.mu.Unlock()
	for _, a := range asides {
		r.logAside(a)
	}
	for _, s := range speeds {
		r.logSpeed(s)
	}
	r.handleLimitChanges(limits)
	r.handleNotices(notices)
	r.handleColdChanges(colds)
	r.handleCrashFindings(findings)
	return effect
}

// logAside logs that an upstream gets no requests for a time, and why, or that it
// serves again.
func (r *Relayer) logAside(a balancer.EjectionChange) {
	if a.Until.IsZero() {
		r.log.Info("Upstream serves again.", zap.String("upstream", string(a.Upstream)))
		return
	}
	r.log.Info("Set an upstream aside.", zap.String("upstream", string(a.Upstream)), zap.Time("until", a.Until),
		zap.String("cause", string(a.Cause)), zap.Int("failures", a.Failures))
}

func (r *Relayer) logSpeed(s balancer.SpeedChange) {
	message := "Upstream is as fast as usual again."
	if s.Slow {
		message = "Upstream is slow."
		r.meters.slowUpstreams.Inc()
	}
	r.log.Info(message, zap.String("upstream", string(s.Upstream)), zap.Float64("slowness", s.Slowness))
}

// nextRandom returns the next number of a sequence that starts after the seed. No two
// requests of this entry get the same number. A dry run gets that of the next request.
func (r *Relayer) nextRandom(dryRun bool) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if dryRun {
		return r.random + 1
	}
	r.random++
	return r.random
}

// resubmittedThreshold is the fraction of a route's longest remaining time below which a
// request counts as a retry by its caller. On the platform, the callers of one route
// wait for 0.85 to 1 of the longest time.
const resubmittedThreshold = 0.84

// isResubmitted reports whether a request that arrives with this remaining time was
// probably refused before. A caller's remaining time counts from its first attempt,
// so a retry, which waited for Retry-After first, has less of it left. A dry run is not
// recorded.
func (r *Relayer) isResubmitted(route identifier.Route, remaining time.Duration, dryRun bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := r.maxRemaining[route]
	if remaining >= longest {
		if !dryRun {
			r.maxRemaining[route] = remaining
		}
		return false
	}
	return float64(remaining) < resubmittedThreshold*float64(longest)
}

// beginRequest counts a request in flight that arrived at the time.
func (r *Relayer) beginRequest(arrivedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight++
	r.arrivedAt = arrivedAt
}

func (r *Relayer) endRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
}
