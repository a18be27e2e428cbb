package balancer

import (
	"maps"
	"math"
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/limiter"
	"celeryvalve/quarantiner"
)

const (
	// demandStep is how often the shares are computed anew, and demandHalfLife the time in
	// which what was counted loses half of its weight: some requests of each kind, and
	// short beside the bursts that the shares are for.
	demandStep     = 250 * time.Millisecond
	demandHalfLife = 3 * time.Second
	// overloadedBelow is the part of the demand that is admitted below which the order
	// between organisations and kinds counts.
	overloadedBelow = 0.97
	// priorWeight is how many requests of mean size a group is assumed to have had that
	// fared as the whole.
	priorWeight = 4.0
	// forgottenBelow is the demand in mean requests below which a group is forgotten.
	forgottenBelow = 0.05
	// minOrganisationRatio is how often in proportion to the whole an organisation is
	// admitted before it counts as beyond its share. Callers promised a quarter.
	minOrganisationRatio = 0.5
	// overShareFactor is how many times its share an organisation uses before it yields to
	// the others. What an entry sees of organisations with like demand differs by less.
	overShareFactor = 1.3
	// lessUrgentFloor is how often in proportion to more urgent kinds a kind is admitted at
	// least, and largeFloor the same for the large requests of a kind.
	lessUrgentFloor = 0.85
	largeFloor      = 0.8
	// toleratedLate is the part of the admitted requests that may be late because their
	// waits differ from the forecasts. Beyond it all gates are lowered in proportion, by
	// maxLateCut at most: shorter queues serve as many, and more of them in time.
	toleratedLate = 0.08
	lateGain      = 6.0
	maxLateCut    = 0.7
	// rankCut is what the gate is lowered by for each rank below the most urgent kind, and
	// maxRankCut the most.
	rankCut    = 0.1
	maxRankCut = 0.3
	// shortfallGain is what the gate of a kind is lowered by in proportion to how much
	// more often it is admitted than the kind that lacks most, and maxKindCut the most.
	shortfallGain = 3.0
	maxKindCut    = 0.5
	// largeFactor is the work of a large request in proportion to its route's mean. About
	// a sixth of the requests are larger.
	largeFactor = 1.6
	// workWeight is the weight of a new value in the mean work of a route.
	workWeight = 0.05
	// maxSessions bounds how many refused sessions are remembered.
	maxSessions = 4096
)

// demand is what one entry has been asked for and has admitted of one service lately.
// Organisations are compared by work, kinds by the number of requests.
type demand struct {
	steppedAt     time.Time
	total         tally
	organisations map[identifier.Organisation]*tally
	kinds         map[kind]*tally
	meanWork      map[identifier.Route]*limiter.Mean
	// fairWork is the work up to which the demand of an organisation is within its share.
	fairWork float64
	// answered is how many first attempts were answered lately, and late how many of them
	// after their objective.
	answered, late float64
	// reserved is how many places are kept for requests that were refused before.
	reserved float64
	// refusals counts the refusals in a row of sessions.
	refusals map[quarantiner.Fingerprint]int
}

// kind is a route's small or large requests.
type kind struct {
	route identifier.Route
	large bool
}

// tally is the demand of a group of requests and what was admitted of it.
type tally struct {
	asked, admitted float64
	// priority is Request.Priority of the last request, and cut what the gate of the group
	// is lowered by.
	priority int
	cut      float64
}

func newDemand() *demand {
	return &demand{
		organisations: make(map[identifier.Organisation]*tally),
		kinds:         make(map[kind]*tally),
		meanWork:      make(map[identifier.Route]*limiter.Mean),
		refusals:      make(map[quarantiner.Fingerprint]int),
		fairWork:      math.Inf(1),
		reserved:      maxReserved,
	}
}

// clone returns a copy that shares nothing with d.
func (d *demand) clone() *demand {
	c := *d
	c.organisations, c.kinds, c.meanWork = clonePointers(d.organisations), clonePointers(d.kinds), clonePointers(d.meanWork)
	c.refusals = maps.Clone(d.refusals)
	return &c
}

func clonePointers[K comparable, V any](m map[K]*V) map[K]*V {
	c := make(map[K]*V, len(m))
	for k, v := range m {
		value := *v
		c[k] = &value
	}
	return c
}

func (r *Reducer) demandOf(service identifier.Service) *demand {
	d, ok := r.demands[service]
	if !ok {
		d = newDemand()
		r.demands[service] = d
	}
	return d
}

// ratio returns the part of the group's demand that was admitted, where little demand
// counts as having fared as the whole.
func (t *tally) ratio(whole, prior float64) float64 {
	return (t.admitted + prior*whole) / (t.asked + prior)
}

// advance lets what was counted fade, and computes the shares anew.
func (d *demand) advance(now time.Time) {
	elapsed := now.Sub(d.steppedAt)
	if elapsed < demandStep {
		return
	}
	fade := math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
	d.steppedAt = now
	d.total.fade(fade)
	d.answered *= fade
	d.late *= fade
	mean := time.Second.Seconds()
	if d.total.asked > 0 {
		mean = d.totalWork() / d.total.asked
	}
	fadeGroups(d.organisations, fade, forgottenBelow*mean)
	fadeGroups(d.kinds, fade, forgottenBelow)
	if len(d.meanWork) > 2*len(d.kinds)+maxReserved {
		clear(d.meanWork)
	}
	d.setFairWork()
	d.setCuts()
}

func (t *tally) fade(factor float64) {
	t.asked *= factor
	t.admitted *= factor
}

func fadeGroups[K comparable](groups map[K]*tally, factor, forgotten float64) {
	for name, t := range groups {
		t.fade(factor)
		if t.asked < forgotten {
			delete(groups, name)
		}
	}
}

// totalWork returns the work that all organisations have asked for.
func (d *demand) totalWork() float64 {
	sum := 0.0
	for _, t := range d.organisations {
		sum += t.asked
	}
	return sum
}

// whole returns the part of the demand that was admitted.
func (d *demand) whole() float64 {
	return d.total.ratio(1, priorWeight)
}

// threshold returns the gate of requests for which nothing else lowers it.
func (d *demand) threshold() float64 {
	late := d.late / (d.answered + priorWeight)
	return 1 - min(maxLateCut, lateGain*max(0, late-toleratedLate))
}

// returnedGate returns the gate of requests that were refused before.
func (d *demand) returnedGate() float64 {
	return max(0, d.threshold()-returnedCut)
}

// fraction returns a number from 0 to 1 that is derived from a random one.
func fraction(random uint64) float64 {
	return float64(limiter.SplitMix64(random)>>11) / (1 << 53)
}

// observeFirstByte counts whether a first attempt was answered in time.
func (d *demand) observeFirstByte(elapsed, objective time.Duration) {
	d.answered++
	if elapsed > objective {
		d.late++
	}
}

// setFairWork finds the work for which holds: if each organisation had its demand up to
// that, all that was admitted would be used.
func (d *demand) setFairWork() {
	d.fairWork = math.Inf(1)
	if d.whole() >= overloadedBelow {
		return
	}
	asked := make([]float64, 0, len(d.organisations))
	left := 0.0
	for _, t := range d.organisations {
		asked = append(asked, t.asked)
		left += t.admitted
	}
	slices.Sort(asked)
	for i, demand := range asked {
		equal := left / float64(len(asked)-i)
		if demand > equal {
			d.fairWork = equal
			return
		}
		left -= demand
	}
}

// group is the requests of one priority and size, whose kinds are compared.
type group struct {
	priority int
	large    bool
}

// setCuts lowers the gates of the less urgent kinds, and of those that are admitted more
// often than others that have the same claim.
func (d *demand) setCuts() {
	whole := d.whole()
	lowest := make(map[group]float64)
	first := math.MaxInt
	for name, t := range d.kinds {
		g := group{t.priority, name.large}
		ratio := t.ratio(whole, priorWeight)
		if worst, ok := lowest[g]; !ok || ratio < worst {
			lowest[g] = ratio
		}
		first = min(first, t.priority)
	}
	for name, t := range d.kinds {
		t.cut = 0
		if whole >= overloadedBelow {
			continue
		}
		own := group{t.priority, name.large}
		ratio := t.ratio(whole, priorWeight)
		for g, worst := range lowest {
			t.cut = max(t.cut, shortfallGain*(own.floorOf(g)*ratio-worst))
		}
		if ratio > lessUrgentFloor*whole {
			t.cut = max(t.cut, min(maxRankCut, rankCut*float64(t.priority-first)))
		}
		t.cut = min(t.cut, maxKindCut)
	}
}

// floorOf returns how often in proportion to this group the other one is admitted at least.
func (g group) floorOf(other group) float64 {
	floor := 1.0
	if other.priority > g.priority {
		floor = lessUrgentFloor
	}
	if other.large && !g.large {
		floor *= largeFloor
	}
	return floor
}

// kindOf returns the kind of the request.
func (d *demand) kindOf(q *Request, work time.Duration) kind {
	mean := d.meanWork[q.Route]
	return kind{q.Route, mean != nil && float64(work) > largeFactor*float64(mean.Value())}
}

// ask counts a request that was not refused before.
func (d *demand) ask(q *Request, work time.Duration) {
	if q.Resubmitted {
		return
	}
	mean, ok := d.meanWork[q.Route]
	if !ok {
		mean = limiter.NewMean(workWeight)
		d.meanWork[q.Route] = mean
	}
	mean.Add(work)
	d.total.asked++
	findTally(d.organisations, q.Organisation).asked += work.Seconds()
	t := findTally(d.kinds, d.kindOf(q, work))
	t.asked++
	t.priority = q.Priority
}

func findTally[K comparable](groups map[K]*tally, name K) *tally {
	t, ok := groups[name]
	if !ok {
		t = &tally{}
		groups[name] = t
	}
	return t
}

// gate returns the place of a request in the order, and the highest pressure at which it
// is admitted.
func (d *demand) gate(q *Request, work time.Duration) (Class, float64) {
	switch {
	case q.Resubmitted && d.reserved >= 1:
		return Reserved, 1
	case q.Resubmitted:
		return Returned, d.returnedGate()
	case d.refusals[q.session()] >= maxSessionRefusals:
		return Overdue, 1
	}
	gate := 1 - (1-d.threshold())*fraction(q.Random) - findTally(d.kinds, d.kindOf(q, work)).cut
	if d.overShare(q.Organisation) {
		return OverShare, max(minGate, gate-overShareCut)
	}
	return First, max(minGate, gate)
}

// overShare reports whether the organisation uses more than its share, and is admitted
// about as often as the others.
func (d *demand) overShare(name identifier.Organisation) bool {
	t, ok := d.organisations[name]
	if !ok || t.admitted <= overShareFactor*d.fairWork {
		return false
	}
	return t.admitted > minOrganisationRatio*d.whole()*t.asked
}

// record counts the decision about a request.
func (d *demand) record(q *Request, work time.Duration, a Admission) {
	session := q.session()
	if !a.Admitted() {
		if session == 0 || a.Unfinishable || q.Resubmitted {
			return
		}
		if len(d.refusals) >= maxSessions {
			clear(d.refusals)
		}
		d.refusals[session]++
		return
	}
	delete(d.refusals, session)
	findTally(d.organisations, q.Organisation).admitted += work.Seconds()
	findTally(d.kinds, d.kindOf(q, work)).admitted++
	d.total.admitted++
	switch {
	case !q.Resubmitted:
		d.reserved = min(maxReserved, d.reserved+returnedReserve)
	case a.Class == Reserved && a.Pressure > d.returnedGate():
		d.reserved--
	}
}
