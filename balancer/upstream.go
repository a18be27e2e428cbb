package balancer

import (
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/limiter"
)

const (
	// firstByteWeight is the weight of a new value in the mean time to first byte.
	firstByteWeight = 0.2
	// failuresInRow is after how many failures one after another an upstream is
	// set aside.
	failuresInRow = 3
	// asideFirst and asideMost bound for how long it is set aside; the time doubles
	// with each failure after it.
	asideFirst = 700 * time.Millisecond
	asideMost  = 10 * time.Second
	// unreachableAside is for how long an upstream that refused a connection is set
	// aside first: a crashed one needs seconds to come back.
	unreachableAside = 500 * time.Millisecond
	// reportLifetime is how long a report of load is counted on.
	reportLifetime = 3 * time.Second
	// agentLag is how old an agent's report is when it comes: half of the interval in
	// which it looks, and the time for which loads are gathered on the way.
	agentLag = 150 * time.Millisecond
	// mostOthers bounds how many times as much as this entry all others are taken to
	// send.
	mostOthers = 15
)

// upstream is what the reducer knows of one upstream.
type upstream struct {
	view UpstreamView
	// inFlight are the requests of this entry there; waiting those without a byte
	// of an answer.
	inFlight int
	waiting  int
	// yielding are those of waiting that others go before.
	yielding int
	// reported is the last report, of the time reportedAt.
	reported   Load
	reportedAt time.Time
	// sends are when this entry sent requests lately.
	sends []time.Time

	firstByte *limiter.Mean

	failures   int
	asideUntil time.Time
	asideFor   time.Duration
	// probing is the request by which one that was set aside is tried.
	probing identifier.RequestID
}

func newUpstream(view UpstreamView) *upstream {
	return &upstream{view: view, firstByte: limiter.NewMean(firstByteWeight)}
}

// load returns how many requests of all entries are there, as far as known, and
// how old the report behind it is. What this entry has sent since the report, the
// others are taken to have sent in their proportion: entries that see the same
// short queue all choose it.
func (u *upstream) load(now time.Time, others float64) (int, time.Duration) {
	if u.reportedAt.IsZero() {
		return u.inFlight, 0
	}
	age := now.Sub(u.reportedAt)
	if age > reportLifetime {
		return u.inFlight, age
	}
	since := float64(u.sentSince(u.reportedAt)) * (1 + others)
	return max(u.inFlight, u.reported.Running+u.reported.Waiting+int(since)), age
}

// sentSince returns how many requests this entry has sent after the time.
func (u *upstream) sentSince(at time.Time) int {
	n := 0
	for _, sent := range u.sends {
		if sent.After(at) {
			n++
		}
	}
	return n
}

// noteSend remembers a request that was sent, and forgets old ones.
func (u *upstream) noteSend(now time.Time) {
	u.sends = slices.DeleteFunc(u.sends, func(sent time.Time) bool { return now.Sub(sent) > reportLifetime })
	u.sends = append(u.sends, now)
}

// ahead returns how many requests a new one would find before it. One that goes
// before what yields does not count that; what of other entries' yields there is
// taken to be as of this one's.
func (u *upstream) ahead(now time.Time, others float64, yields bool) int {
	load, age := u.load(now, others)
	if yields || u.yielding == 0 {
		return load
	}
	load -= u.yielding
	if foreign := u.reported.Waiting - u.waiting; foreign > 0 && age <= reportLifetime {
		load -= foreign * u.yielding / u.waiting
	}
	return max(0, load)
}

// observe takes in a report that describes the upstream some time ago.
func (u *upstream) observe(now time.Time, load *Load, ago time.Duration) {
	if load == nil || now.Add(-ago).Before(u.reportedAt) {
		return
	}
	u.reported = *load
	u.reportedAt = now.Add(-ago)
}

func (u *upstream) slots() int {
	if u.view.Slots > 0 {
		return u.view.Slots
	}
	return max(1, u.reported.Slots)
}

// succeeded takes back what failures did.
func (u *upstream) succeeded() {
	u.failures = 0
	u.asideUntil = time.Time{}
	u.asideFor = 0
}

// failed counts a failure and sets the upstream aside when there were too many.
func (u *upstream) failed(now time.Time, unreachable bool) {
	u.failures++
	switch {
	case u.asideFor > 0:
		u.asideFor = min(asideMost, 2*u.asideFor)
	case unreachable:
		u.asideFor = unreachableAside
	case u.failures >= failuresInRow:
		u.asideFor = asideFirst
	default:
		return
	}
	u.asideUntil = now.Add(u.asideFor)
}

// usable reports whether a request may be sent: one that was set aside takes one
// at a time once its time is over.
func (u *upstream) usable(now time.Time) bool {
	if u.asideFor == 0 {
		return true
	}
	return !now.Before(u.asideUntil) && u.probing == ""
}
