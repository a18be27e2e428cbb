package admitter

import (
	"time"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
	"celeryvalve/quarantiner"
	"celeryvalve/router"
)

const (
	// responseRetention is how long the response of an ended attempt can be resumed.
	responseRetention = time.Minute
	// attemptIDRetention is how long the id of a refused or forgotten attempt is kept.
	// It is longer than any message can be in flight on a connection, so that a
	// delayed duplicate is still recognised.
	attemptIDRetention = 10 * time.Minute
	// maxTrackedAttempts is the number of attempts at which the agent stops recording
	// refusals of attempts that have not arrived. It answers Forgotten instead, which
	// does not claim that the attempt has not run.
	maxTrackedAttempts = 200_000
	// orphanTimeout is how long an idempotent attempt runs on without a stream.
	orphanTimeout = 15 * time.Second
	// minDecreaseInterval is the minimum time between two decreases of the limit that
	// are caused by requests waiting inside the upstream.
	minDecreaseInterval = time.Second
	// isolationTimeout is how long a suspect may block other attempts while it waits
	// for the running ones to end. After a wait that failed, no suspect may block others
	// for isolationBackoff.
	isolationTimeout = 5 * time.Second
	isolationBackoff = 15 * time.Second
	// The queue holds up to limit/queueDivisor attempts, and at least minQueue.
	minQueue          = 2
	queueDivisor      = 4
	minBusyRetryAfter = 50 * time.Millisecond
	// meanSampleWeight is the weight of each new sample in the means of latency and
	// duration.
	meanSampleWeight = 0.2
)

// Config describes the upstream that the agent serves.
type Config struct {
	Upstream identifier.Upstream
	// Incarnation is that of the agent. Attempts for another one are refused.
	Incarnation identifier.Incarnation
	// ReportsLoad is copied to Reported in the agent's load reports.
	ReportsLoad bool
	// Concurrency configures the adaptive concurrency limit. If Max is zero,
	// limiter.DefaultConcurrencyConfig applies.
	Concurrency limiter.ConcurrencyConfig
}

// Reducer is the admission state machine of one agent. It is not safe for
// concurrent use.
type Reducer struct {
	cfg      Config
	check    asserter.Asserter
	attempts map[identifier.AttemptID]*attempt
	// started maps each non-idempotent key to the attempt that ran for it.
	started map[claimKey]identifier.AttemptID
	queue   *limiter.FairQueue[identifier.Organisation, identifier.AttemptID]
	running map[identifier.AttemptID]*attempt
	// isolated is a suspect that waits until nothing else runs, or that runs alone.
	// While it is set, no other attempt starts.
	isolated      *attempt
	isolatedSince time.Time
	// nextIsolation is the earliest time at which a suspect may block others again.
	nextIsolation time.Time
	limit         *limiter.ConcurrencyLimit
	// requestLimit is the limit on requests per second that the upstream names. pacer
	// spaces the starts of attempts by it, and is nil while no limit is in force.
	requestLimit limiter.RequestLimit
	pacer        *limiter.Pacer
	// latency is the mean time to the start of the response, duration the mean time
	// to its end.
	latency      *limiter.Mean
	duration     *limiter.Mean
	lastDecrease time.Time
	// crashes counts the upstream's crashes since the agent started.
	crashes uint64
	// suspects and refused are the lists of the control plane. localQuarantine holds
	// what this agent observed itself.
	suspects        map[quarantiner.Fingerprint]bool
	refused         map[quarantiner.Fingerprint]bool
	localQuarantine map[quarantiner.Fingerprint]quarantineEntry
	ready           bool
	leaving         bool
	drainReported   bool
	nextCleanup     time.Time

	// now and effects are the time and the result of the current call of Reduce.
	now     time.Time
	effects []Effect
}

// New returns a Reducer. It refuses attempts until an UpstreamChanged event reports
// that the upstream is ready.
func New(cfg Config, check asserter.Asserter) *Reducer {
	if cfg.Concurrency.Max == 0 {
		cfg.Concurrency = limiter.DefaultConcurrencyConfig()
	}
	return &Reducer{
		cfg:             cfg,
		check:           check,
		attempts:        make(map[identifier.AttemptID]*attempt),
		started:         make(map[claimKey]identifier.AttemptID),
		queue:           limiter.NewFairQueue[identifier.Organisation, identifier.AttemptID](limiter.QueueConfig{MaxItems: minQueue}),
		running:         make(map[identifier.AttemptID]*attempt),
		limit:           limiter.NewConcurrencyLimit(cfg.Concurrency),
		latency:         limiter.NewMean(meanSampleWeight),
		duration:        limiter.NewMean(meanSampleWeight),
		suspects:        make(map[quarantiner.Fingerprint]bool),
		refused:         make(map[quarantiner.Fingerprint]bool),
		localQuarantine: make(map[quarantiner.Fingerprint]quarantineEntry),
	}
}

// Reduce applies one event and returns its effects in the order in which they must
// be carried out.
func (r *Reducer) Reduce(now time.Time, event Event) []Effect {
	r.now = now
	r.effects = nil
	switch e := event.(type) {
	case AttemptArrived:
		r.handleArrived(e)
	case AttemptAsked:
		r.handleAsked(e)
	case AttemptCancelled:
		r.handleCancelled(e)
	case StreamLost:
		r.handleStreamLost(e)
	case AttemptDelivered:
		r.handleDelivered(e)
	case ResponseStarted:
		r.handleAnswering(e)
	case AttemptFinished:
		r.handleFinished(e)
	case AttemptNotSent:
		r.handleNotSent(e)
	case UpstreamChanged:
		r.handleUpstreamChanged(e)
	case LoadObserved:
		r.handleLoadObserved(e)
	case QuarantineChanged:
		r.handleQuarantineChanged(e)
	case Leave:
		r.handleLeave()
	case Ticked:
		r.handleTick()
	}
	r.reportDrained()
	return r.effects
}

// Load returns the current load report.
func (r *Reducer) Load() router.LoadReport {
	queued := r.queue.Len()
	if r.isolated != nil && r.isolated.state == queuedState {
		queued++
	}
	return router.LoadReport{
		Running:   len(r.running),
		Queued:    queued,
		Limit:     r.limit.Limit(),
		QueueRoom: r.maxQueue(),
		Reported:  r.cfg.ReportsLoad,
		Latency:   r.latency.Value(),
		Leaving:   r.leaving,
	}
}

func (r *Reducer) maxQueue() int {
	return max(minQueue, r.limit.Limit()/queueDivisor)
}

func (r *Reducer) emit(e Effect) {
	r.effects = append(r.effects, e)
}

func (r *Reducer) handleLeave() {
	r.leaving = true
	r.refuseQueued(router.Leaving)
}

func (r *Reducer) refuseQueued(reason router.RefuseReason) {
	all := func(identifier.AttemptID) bool { return true }
	for _, id := range r.queue.RemoveWhere(all) {
		r.refuse(r.attempts[id], reason, 0)
	}
	if r.isolated != nil && r.isolated.state == queuedState {
		r.refuse(r.isolated, reason, 0)
	}
}

// reportDrained emits Drained once, when no attempt is left after Leave.
func (r *Reducer) reportDrained() {
	if !r.leaving || r.drainReported || len(r.running) > 0 || r.hasUndelivered() {
		return
	}
	if !r.check.Check(asserter.DrainCompletes, r.queue.Len() == 0, "attempts are still queued at the end of the drain") {
		return
	}
	r.drainReported = true
	r.emit(Drained{})
}

// hasUndelivered reports whether a stream still has to receive a response that has
// ended.
func (r *Reducer) hasUndelivered() bool {
	for _, a := range r.attempts {
		if a.state == endedState && len(a.streams) > 0 {
			return true
		}
	}
	return false
}

// handleLoadObserved lowers the limit when requests wait inside the upstream.
func (r *Reducer) handleLoadObserved(e LoadObserved) {
	if e.Waiting == 0 || r.now.Sub(r.lastDecrease) < minDecreaseInterval {
		return
	}
	r.lastDecrease = r.now
	r.limit.Congested()
	r.queue.SetMaxItems(r.maxQueue())
}
