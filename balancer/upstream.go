package balancer

import (
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
	// reported is the last report, with the requests of this entry then.
	reported     Load
	reportedAt   time.Time
	reportedMine int

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
// how old the report behind it is.
func (u *upstream) load(now time.Time) (int, time.Duration) {
	if u.reportedAt.IsZero() {
		return u.inFlight, 0
	}
	age := now.Sub(u.reportedAt)
	if age > reportLifetime {
		return u.inFlight, age
	}
	others := max(0, u.reported.Running+u.reported.Waiting-u.reportedMine)
	return u.inFlight + others, age
}

// ahead returns how many requests a new one would find before it. One that goes
// before what yields does not count that; what of other entries' yields there is
// taken to be as of this one's.
func (u *upstream) ahead(now time.Time, yields bool) int {
	load, age := u.load(now)
	if yields || u.yielding == 0 {
		return load
	}
	load -= u.yielding
	if others := u.reported.Waiting - u.waiting; others > 0 && age <= reportLifetime {
		load -= others * u.yielding / u.waiting
	}
	return max(0, load)
}

func (u *upstream) observe(now time.Time, load *Load) {
	if load == nil {
		return
	}
	u.reported = *load
	u.reportedAt = now
	u.reportedMine = u.inFlight
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
