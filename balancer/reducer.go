package balancer

import (
	"maps"
	"slices"
	"time"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/indexer"
	"celeryvalve/limiter"
)

// Config is the location of the entry and the limits that the platform sets.
type Config struct {
	// Entry is the name of this entry.
	Entry            identifier.Instance
	Region           identifier.Region
	AvailabilityZone identifier.AvailabilityZone
	// RetryRatio and RetryBurst are this entry's share of the retry budget: retries
	// per first send, and how many can accumulate.
	RetryRatio float64
	RetryBurst float64
	// ColdOverage and ColdAllowance bound the requests that a cold upstream gets from all
	// entries in one second, as a factor of what it bears and a number more.
	ColdOverage   float64
	ColdAllowance float64
	// ReleaseGracePeriod is how long after a release was named older ones are refused.
	ReleaseGracePeriod time.Duration
	// ReleaseBeginPeriod is how long after a release was named a request that was sent to an
	// older one may begin, or 0 for no limit.
	ReleaseBeginPeriod time.Duration
	// ColdReportTime is how long after it became cold an upstream has told so.
	ColdReportTime time.Duration
}

const (
	// objectiveMargin is the share of the objective that a forecast may take. The
	// rest is for the network and for what the forecast doesn't model.
	objectiveMargin = 0.9
	// resubmittedMargin is the same for a request that was refused before. Its
	// objective is already missed, but a longer wait would take engine time from
	// requests that can still be in time, and its caller often gives up before the
	// response is complete.
	resubmittedMargin = 1.0
	// minRetryAfter and maxRetryAfter are the range over which the Retry-After of
	// refused requests is spread, unless the caller's remaining time shifts or cuts
	// it.
	minRetryAfter = 600 * time.Millisecond
	maxRetryAfter = 1800 * time.Millisecond
	// maxRetryAfterDivisor limits Retry-After to the caller's remaining time
	// divided by it.
	maxRetryAfterDivisor = 3
	// minRetryAfterFraction is the share of the caller's remaining time that
	// Retry-After takes at least. The remaining time of a resubmitted request then
	// shows every entry that it was refused before, although the timeouts of
	// callers differ by a sixth.
	minRetryAfterFraction = 0.17
	// minRemaining is the least remaining time in which an attempt is worthwhile.
	minRemaining = 30 * time.Millisecond
	// firstByteTimeoutFactor is how many times its forecast a first byte may take
	// before a repeatable request is tried elsewhere; minFirstByteTimeout is the
	// lower bound, or the caller's remaining time divided by firstByteTimeoutDivisor
	// if that is shorter: the other upstream needs time as well.
	firstByteTimeoutFactor  = 4
	minFirstByteTimeout     = 1200 * time.Millisecond
	firstByteTimeoutDivisor = 3
	// defaultObjective is used for requests without an objective.
	defaultObjective = 5 * time.Second
	// defaultUrgency is the urgency of a first attempt. Retries go first, since
	// their callers have waited already. Resubmitted requests go last, since their
	// objective is missed in any case.
	defaultUrgency     = 5
	retryUrgency       = 3
	resubmittedUrgency = 7
)

// Reducer decides where the requests of one entry run and which are refused. It is
// not safe for concurrent use.
type Reducer struct {
	cfg       Config
	upstreams map[identifier.Upstream]*upstream
	// byService holds the upstreams of each service, sorted by name. Each request looks
	// through those of its service alone.
	byService       map[identifier.Service][]*upstream
	services        map[identifier.Service]ServicePolicy
	requests        map[identifier.RequestID]*request
	budgets         map[identifier.Service]*limiter.RetryBudget
	demands         map[identifier.Service]*demand
	ejectionChanges []EjectionChange
	crashes         *crashDetector
	limitChanges    []LimitChange
	coldChanges     []ColdChange
	speedChanges    []SpeedChange
	notices         map[process]*notice
	newNotices      []UpstreamNotice
	evacuated       map[identifier.AvailabilityZone]bool
	returns         zoneReturns
	// entries are those that take requests.
	entries          []Entry
	entriesChangedAt time.Time
	control          ControlObserved
	drain            DrainStarted
	// oldestReleases are the releases that have ruled out older ones, which stay ruled out.
	oldestReleases map[identifier.Service]declarer.ReleaseNumber
	// attendantsDue says that lists have changed since engines were divided among entries.
	attendantsDue bool
	trusts        map[identifier.Service]*trust
	biases        map[identifier.Service]*biases
}

// request is a request that has not been answered yet.
type request struct {
	Request
	// admission is the last decision whether the request is begun, and admitted says that
	// it was once to begin it.
	admission Admission
	admitted  bool
	// attempts counts the attempts that may have reached an upstream, and sends all of them.
	attempts int
	sends    int
	tried    map[identifier.Upstream]bool
	// inProgress lists the attempts in progress in the order in which they were sent: several
	// while upstreams are silent.
	inProgress []*attempt
	// mayHaveRun is set once any attempt may have run.
	mayHaveRun bool
	// firstSentAt is when the first attempt was sent, and crashes counts the attempts
	// whose upstream crashed. It is shared with the losses of the request.
	firstSentAt time.Time
	crashes     *int
	// preferred is the upstream that is chosen among about equal ones to read the
	// beginning of the prompt, or nil.
	preferred *upstream
	// ignoredParts says why parts of the prompt are not compared with what upstreams hold.
	ignoredParts indexer.Fault
}

// New returns a reducer without upstreams and services.
func New(cfg Config) *Reducer {
	return &Reducer{
		cfg:       cfg,
		upstreams: make(map[identifier.Upstream]*upstream),
		services:  make(map[identifier.Service]ServicePolicy),
		requests:  make(map[identifier.RequestID]*request),
		budgets:   make(map[identifier.Service]*limiter.RetryBudget),
		demands:   make(map[identifier.Service]*demand),
		crashes:   newCrashDetector(),
		notices:   make(map[process]*notice),
		returns:   make(zoneReturns),

		control:        ControlObserved{Reached: true},
		oldestReleases: make(map[identifier.Service]declarer.ReleaseNumber),
		trusts:         make(map[identifier.Service]*trust),
		biases:         make(map[identifier.Service]*biases),
	}
}

// Reduce processes one event and returns what to do next for its request.
func (r *Reducer) Reduce(now time.Time, event Event) Effect {
	switch e := event.(type) {
	case UpstreamsChanged:
		r.changeUpstreams(now, e.Upstreams)
	case PolicyChanged:
		clear(r.services)
		for _, s := range e.Services {
			r.services[s.Service] = s
		}
		for _, u := range r.upstreams {
			r.updateCold(now, u)
		}
		r.changePrefixCapacities()
		r.attendantsDue = true
	case LoadObserved:
		if u, ok := r.upstreams[e.Upstream]; ok {
			u.observeReport(now, e.Load)
		}
	case QuarantineChanged:
		r.crashes.changeQuarantine(now, e.Summary)
	case RetryBurstChanged:
		r.cfg.RetryBurst = e.Burst
		for _, b := range r.budgets {
			b.SetBurst(e.Burst)
		}
	case ConnectionRefused:
		r.refuseConnection(now, e)
	case EntriesChanged:
		r.changeEntries(now, e.Entries)
	case ColdStated:
		r.observeCold(now, e)
	case LimitStated:
		r.observeLimit(now, e)
	case ControlObserved:
		r.observeControl(now, e)
	case RestRequested:
		r.requestRest(now, e)
	case LeavingStated:
		r.recordLeaving(now, e)
	case DrainStarted:
		r.drain = e
	case EvacuationsChanged:
		r.changeEvacuations(now, e.Evacuated)
	case RequestArrived:
		return r.arrive(now, e.Request)
	case HomesChanged:
		r.changeHomes(e)
	case CallerGone:
		r.forget(now, e.Request)
	default:
		return r.reduceAttempt(now, event)
	}
	return NoEffect{}
}

// reduceAttempt processes an event of an attempt.
func (r *Reducer) reduceAttempt(now time.Time, event Event) Effect {
	switch e := event.(type) {
	case AttemptConnected:
		return r.connected(now, e)
	case ResponseStarted:
		return r.answering(now, e)
	case StreamProgressed:
		if a, ok := r.attemptOf(e.Request, e.Attempt); ok {
			r.progressed(now, a, e.Events)
		}
	case AttemptStalled:
		return r.stalled(now, e)
	case AttemptUnbegun:
		return r.overdue(now, e)
	case AttemptChosen:
		return r.chosen(now, e)
	case ResponseCompleted:
		return r.ended(now, e)
	case AttemptFailed:
		return r.broke(now, e)
	}
	return NoEffect{}
}

// InFlight returns how many requests have no answer yet.
func (r *Reducer) InFlight() int {
	return len(r.requests)
}

func (r *Reducer) changeUpstreams(now time.Time, views []UpstreamView) {
	r.detectReplacements(now, r.upstreams, views)
	known := make(map[identifier.Upstream]bool, len(views))
	regroup := false
	for _, v := range views {
		v = r.assumeCold(v)
		known[v.Upstream] = true
		u, ok := r.upstreams[v.Upstream]
		if !ok || u.view.Incarnation != v.Incarnation {
			u = newUpstream(v)
			u.notice = r.notices[u.process()]
			r.upstreams[v.Upstream] = u
			regroup = true
		}
		regroup = regroup || u.view.Service != v.Service
		if u.view.Release != v.Release {
			u.forgetPrefixes()
		}
		u.view = v
		r.learnLimit(now, u, v.Limit)
		r.updateCold(now, u)
	}
	for name, u := range r.upstreams {
		if !known[name] {
			if u.draining() {
				delete(r.crashes.losses, u.process()) // its end was planned
			}
			delete(r.upstreams, name) // requests in flight there keep their pointer to it
			regroup = true
		}
	}
	if regroup {
		r.groupByService()
	}
}

func (r *Reducer) groupByService() {
	r.byService = make(map[identifier.Service][]*upstream)
	for _, name := range slices.Sorted(maps.Keys(r.upstreams)) {
		u := r.upstreams[name]
		r.byService[u.view.Service] = append(r.byService[u.view.Service], u)
	}
	r.attendantsDue = true
}

func (r *Reducer) arrive(now time.Time, q Request) Effect {
	if refusal, ok := r.refusedUnseen(now, &q); ok {
		return refusal
	}
	r.budget(q.Service).RecordSend()
	s := &request{Request: q, tried: make(map[identifier.Upstream]bool)}
	s.chainPrompt(r.services[q.Service])
	effect := r.dispatch(now, s)
	if _, ok := effect.(Send); ok {
		r.requests[q.ID] = s
	}
	return effect
}

// refusedUnseen returns the refusal of a request that is not even weighed. It changes
// nothing.
func (r *Reducer) refusedUnseen(now time.Time, q *Request) (Refuse, bool) {
	if _, ok := r.services[q.Service]; !ok {
		return Refuse{Request: q.ID, Reason: UnknownService, RetryAfter: r.retryAfter(now, q)}, true
	}
	if suspect, wait := r.crashes.refusedFor(now, q); wait > 0 {
		return Refuse{Request: q.ID, Reason: Quarantined, RetryAfter: wait, Suspect: suspect}, true
	}
	return Refuse{}, false
}

func (r *Reducer) budget(service identifier.Service) *limiter.RetryBudget {
	b, ok := r.budgets[service]
	if !ok {
		b = limiter.NewRetryBudget(r.cfg.RetryRatio, r.cfg.RetryBurst)
		r.budgets[service] = b
	}
	return b
}

// dispatch sends the request to the best upstream. Otherwise it refuses the request, unless
// another attempt is in progress.
func (r *Reducer) dispatch(now time.Time, s *request) Effect {
	d := r.decide(now, s)
	if d.reason != "" {
		return r.giveUpUnlessInProgress(now, s, d.reason, d.forecast)
	}
	return r.send(now, s, d.target, d.forecast, r.services[s.Service])
}

// decision is what happens to a request: it is sent to the target, or given up for a reason.
type decision struct {
	target   *upstream
	forecast time.Duration
	reason   Reason
}

// decide decides about the request. It does not carry the decision out.
func (r *Reducer) decide(now time.Time, s *request) decision {
	if s.Deadline.Sub(now) < minRemaining {
		return decision{reason: DeadlineTooNear}
	}
	if r.isTooLate(now, s) {
		return decision{reason: Draining}
	}
	if r.heldBack(now, &s.Request) {
		return decision{reason: Probation}
	}
	policy := r.services[s.Service]
	best, forecast := r.choose(now, s, policy)
	if best == nil {
		return decision{reason: r.reasonWithoutUpstream(now, s, policy)}
	}
	if s.attempts == 0 {
		if s.admission = r.admit(now, s, best, forecast); !s.admission.Admitted() {
			return decision{reason: Overloaded, forecast: forecast}
		}
	}
	return decision{target: best, forecast: forecast}
}

// maxForecast returns the longest forecast of the time to the first byte with which
// the request is worth its place. It is bounded by the objective, and by the time that is
// left for a response of mean length to be complete before the deadline.
func (r *Reducer) maxForecast(now time.Time, s *request) time.Duration {
	return min(s.Deadline.Sub(now)-decodeTime(r.services[s.Service].Engine), s.longestForecast())
}

// giveUpUnlessInProgress gives the request up, unless another attempt may still answer it.
func (r *Reducer) giveUpUnlessInProgress(now time.Time, s *request, reason Reason, forecast time.Duration) Effect {
	if len(s.inProgress) > 0 {
		return Await{Request: s.ID}
	}
	return r.giveUp(now, s, reason, forecast)
}

// giveUp ends the request: with Refuse if no attempt may have run, otherwise with
// Fail.
func (r *Reducer) giveUp(now time.Time, s *request, reason Reason, forecast time.Duration) Effect {
	r.end(now, s)
	if s.mayHaveRun {
		return Fail{Request: s.ID, Reason: reason}
	}
	return r.refusal(now, s, reason, forecast)
}

// refusal returns the refusal of a request that no attempt may have run. It changes nothing.
func (r *Reducer) refusal(now time.Time, s *request, reason Reason, forecast time.Duration) Refuse {
	wait := r.retryAfter(now, &s.Request)
	switch reason {
	case NoUpstream, NoHome, Evacuated:
		wait = r.lateRetryAfter(now, &s.Request)
	case Resting:
		wait = r.restRetryAfter(now, &s.Request)
	case Draining:
		wait = min(drainRetryAfter, s.Deadline.Sub(now)/maxRetryAfterDivisor)
	}
	refusal := Refuse{Request: s.ID, Reason: reason, RetryAfter: wait, Forecast: forecast, Admission: s.admission}
	if reason == Probation {
		refusal.Suspect = s.Fingerprint
	}
	return refusal
}

// retryAfter returns a Retry-After that spreads refused requests over time.
func (r *Reducer) retryAfter(now time.Time, q *Request) time.Duration {
	left := q.Deadline.Sub(now)
	shortest := max(minRetryAfter, time.Duration(minRetryAfterFraction*float64(left)))
	span := max(maxRetryAfter-shortest, maxRetryAfter-minRetryAfter)
	wait := shortest + time.Duration(limiter.SplitMix64(q.Random)%uint64(span))
	if wait >= left/maxRetryAfterDivisor {
		return r.lateRetryAfter(now, q)
	}
	return wait
}

// lateRetryAfter returns the Retry-After of requests that no upstream can serve
// now: the longest that the caller's remaining time allows, less a random part of
// up to a quarter.
func (r *Reducer) lateRetryAfter(now time.Time, q *Request) time.Duration {
	latest := q.Deadline.Sub(now) / maxRetryAfterDivisor
	spread := time.Duration(limiter.SplitMix64(q.Random) % uint64(max(1, latest/4)))
	return max(minRemaining, latest-spread)
}

func (r *Reducer) forget(now time.Time, id identifier.RequestID) {
	if s, ok := r.requests[id]; ok {
		r.end(now, s)
	}
}
