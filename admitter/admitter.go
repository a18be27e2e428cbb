package admitter

import (
	"time"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
	"celeryvalve/router"
)

const (
	// answerRetention is how long an ended answer can be resumed.
	answerRetention = time.Minute
	// attemptRetention is how long an attempt's id is remembered. It is longer than
	// any message can be under way on a connection.
	attemptRetention = 10 * time.Minute
	// maxRemembered bounds the ids. Beyond it the agent confirms no refusal of an
	// attempt that it has not seen.
	maxRemembered = 200_000
	// orphanTimeout is how long an idempotent run goes on without a stream.
	orphanTimeout = 15 * time.Second
	// congestionPause is the shortest time between two cuts of the limit for work
	// that waits inside the upstream.
	congestionPause = time.Second
	// holdTimeout is how long a suspect holds others back while it waits for what
	// runs, and holdPause is how long none may after one waited in vain.
	holdTimeout  = 5 * time.Second
	holdPause    = 15 * time.Second
	minQueue     = 2
	queueShare   = 4 // of the limit may wait
	minBusyPause = 50 * time.Millisecond
	meanWeight   = 0.2
)

// Config says which upstream the agent is beside.
type Config struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	ReportsLoad bool
	Concurrency limiter.ConcurrencyConfig
}

// Reducer decides for one agent. It is not safe for concurrent use.
type Reducer struct {
	cfg      Config
	check    asserter.Asserter
	attempts map[identifier.AttemptID]*attempt
	// started holds the attempt that ran for each non-idempotent key.
	started map[claimKey]identifier.AttemptID
	queue   *limiter.FairQueue[identifier.Organisation, identifier.AttemptID]
	running map[identifier.AttemptID]*attempt
	// alone is a suspect that waits for the upstream to be empty, or runs alone.
	alone      *attempt
	aloneSince time.Time
	// aloneAfter is when a suspect may hold others back again.
	aloneAfter time.Time
	limit      *limiter.Concurrency
	latency    *limiter.Mean
	duration   *limiter.Mean
	congested  time.Time
	crashes    uint64
	suspects   map[router.Fingerprint]bool
	refused    map[router.Fingerprint]bool
	learned    map[router.Fingerprint]lesson
	ready      bool
	leaving    bool
	drained    bool
	nextForget time.Time

	now     time.Time
	effects []Effect
}

// New returns a reducer whose upstream is not ready.
func New(cfg Config, check asserter.Asserter) *Reducer {
	if cfg.Concurrency.Max == 0 {
		cfg.Concurrency = limiter.DefaultConcurrencyConfig()
	}
	return &Reducer{
		cfg:      cfg,
		check:    check,
		attempts: make(map[identifier.AttemptID]*attempt),
		started:  make(map[claimKey]identifier.AttemptID),
		queue:    limiter.NewFairQueue[identifier.Organisation, identifier.AttemptID](limiter.QueueConfig{MaxItems: minQueue}),
		running:  make(map[identifier.AttemptID]*attempt),
		limit:    limiter.NewConcurrency(cfg.Concurrency),
		latency:  limiter.NewMean(meanWeight),
		duration: limiter.NewMean(meanWeight),
		suspects: make(map[router.Fingerprint]bool),
		refused:  make(map[router.Fingerprint]bool),
		learned:  make(map[router.Fingerprint]lesson),
	}
}

// Reduce takes in one event and returns its effects in order.
func (r *Reducer) Reduce(now time.Time, event Event) []Effect {
	r.now = now
	r.effects = nil
	switch e := event.(type) {
	case AttemptArrived:
		r.arrive(e)
	case AttemptAsked:
		r.asked(e)
	case AttemptCancelled:
		r.cancelled(e)
	case StreamLost:
		r.streamLost(e)
	case AttemptDelivered:
		r.delivered(e)
	case AttemptAnswering:
		r.answering(e)
	case AttemptFinished:
		r.finished(e)
	case AttemptNotSent:
		r.notSent(e)
	case UpstreamChanged:
		r.upstreamChanged(e)
	case LoadObserved:
		r.loadObserved(e)
	case QuarantineChanged:
		r.quarantineChanged(e)
	case Leave:
		r.leave()
	case Ticked:
		r.tick()
	}
	r.reportDrained()
	return r.effects
}

// Load returns the load report of the moment.
func (r *Reducer) Load() router.LoadReport {
	queued := r.queue.Len()
	if r.alone != nil && r.alone.state == queuedState {
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
	return max(minQueue, r.limit.Limit()/queueShare)
}

func (r *Reducer) emit(e Effect) {
	r.effects = append(r.effects, e)
}

func (r *Reducer) leave() {
	r.leaving = true
	r.refuseQueued(router.Leaving)
}

func (r *Reducer) refuseQueued(reason router.RefuseReason) {
	all := func(identifier.AttemptID) bool { return true }
	for _, id := range r.queue.RemoveWhere(all) {
		r.refuse(r.attempts[id], reason, 0)
	}
	if r.alone != nil && r.alone.state == queuedState {
		r.refuse(r.alone, reason, 0)
	}
}

// reportDrained says once that nothing is left after Leave.
func (r *Reducer) reportDrained() {
	if !r.leaving || r.drained || len(r.running) > 0 || r.undelivered() {
		return
	}
	if !r.check.Check(asserter.DrainCompletes, r.queue.Len() == 0, "attempts are queued at the end of the drain") {
		return
	}
	r.drained = true
	r.emit(Drained{})
}

// undelivered reports whether an entry still reads an answer.
func (r *Reducer) undelivered() bool {
	for _, a := range r.attempts {
		if a.state == endedState && len(a.streams) > 0 {
			return true
		}
	}
	return false
}

func (r *Reducer) loadObserved(e LoadObserved) {
	if e.Waiting == 0 || r.now.Sub(r.congested) < congestionPause {
		return
	}
	r.congested = r.now
	r.limit.Congested()
	r.queue.SetMaxItems(r.maxQueue())
}
