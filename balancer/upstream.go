package balancer

import (
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/indexer"
	"celeryvalve/limiter"
)

const (
	// firstByteWeight is the weight of a new value in the mean time to first byte.
	firstByteWeight = 0.2
	// ejectionThreshold is the number of consecutive failures after which an
	// upstream is ejected.
	ejectionThreshold = 3
	// baseEjectionTime is the first ejection time after ejectionThreshold failures.
	// Each further failure doubles the time, up to maxEjectionTime.
	baseEjectionTime = 700 * time.Millisecond
	maxEjectionTime  = 10 * time.Second
	// unreachableEjectionTime is the first ejection time of an upstream that can't
	// be connected to or turns out to be another one. Such an upstream is ejected
	// at its first failure, since a crashed one needs seconds to restart.
	unreachableEjectionTime = 500 * time.Millisecond
	// reportLifetime is how long a load report is used.
	reportLifetime = 3 * time.Second
	// agentReportAge is the age of an agent's report when it arrives: half of the
	// agent's polling interval, and the time for which loads are batched on the
	// way.
	agentReportAge = 150 * time.Millisecond
	// maxOthersRatio bounds how many requests all other entries are assumed to send
	// for each request of this entry.
	maxOthersRatio = 15
)

// upstream is what the reducer knows of one upstream.
type upstream struct {
	view UpstreamView
	// attendant is the entry that sends requests here first, or empty.
	attendant identifier.Instance
	// inFlight is the number of this entry's requests at the upstream, and waiting
	// the number of those without a byte of a response.
	inFlight int
	waiting  int
	// waitingResubmitted is the number of waiting requests that were refused
	// before. Other requests overtake them.
	waitingResubmitted int
	// reported is the last load report, and reportedAt the time that it describes.
	reported   Load
	reportedAt time.Time
	// reportedByAgent says that an agent polled the last report, and not that an answer
	// brought it.
	reportedByAgent bool
	// meanLoad is the mean of what agents reported lately.
	meanLoad float64
	// sendTimes are the times at which this entry sent requests, up to
	// reportLifetime ago.
	sendTimes []time.Time

	// limit is what is known of the requests per second that the upstream accepts. pacer
	// spaces this entry's share of them, and is nil if the entry has none.
	limit limiter.RequestLimit
	pacer *limiter.Pacer

	// wholeShareFrom is when no other entry uses the share that pacer stands for any more.
	wholeShareFrom time.Time
	// holders is the number of entries that share what the upstream accepts while it is
	// limited or cold.
	holders int
	cold    coldness

	// notice is what the upstream has asked of this entry, or nil.
	notice *notice

	// prefixes are the beginnings of prompts that the upstream holds, or nil if none is
	// known.
	prefixes *indexer.Holder

	firstByte *limiter.Mean
	speed     speed
	// heardAt is when the upstream last showed that it runs, and probedAt when a probe
	// of it was last requested.
	heardAt  time.Time
	probedAt time.Time
	// silent is set once an attempt has stalled and nothing has come from the upstream for
	// crashSpan, until it goes on at resumedAt.
	silent    bool
	resumedAt time.Time

	// failures is the number of consecutive failures, the last of them at failedAt.
	failures     int
	failedAt     time.Time
	failed       failedShare
	ejectedUntil time.Time
	ejectionTime time.Duration
	// probe is the request that tests the upstream after an ejection, or empty.
	probe identifier.RequestID
}

func newUpstream(view UpstreamView) *upstream {
	return &upstream{view: view, firstByte: limiter.NewMean(firstByteWeight)}
}

func (u *upstream) process() process {
	return process{u.view.Upstream, u.view.Incarnation}
}

// load returns how many requests of all entries the upstream has, as far as known,
// and the age of the report behind it. The other entries are assumed to have sent
// requests since the report in proportion to this entry's, because entries that see
// the same short queue all choose it.
func (u *upstream) load(now time.Time, othersRatio float64) (int, time.Duration) {
	if u.reportedAt.IsZero() {
		return u.inFlight, 0
	}
	age := now.Sub(u.reportedAt)
	if age > reportLifetime {
		return u.inFlight, age
	}
	since := float64(u.sentSince(u.reportedAt)) * (1 + othersRatio)
	return max(u.inFlight, u.reported.Running+u.reported.Waiting+int(since)), age
}

// sentSince returns how many requests this entry has sent after the given time.
func (u *upstream) sentSince(at time.Time) int {
	n := 0
	for _, sent := range u.sendTimes {
		if sent.After(at) {
			n++
		}
	}
	return n
}

// recordSend records that a request is sent now, and drops the records older than
// reportLifetime.
func (u *upstream) recordSend(now time.Time) {
	u.sendTimes = slices.DeleteFunc(u.sendTimes, func(sent time.Time) bool { return now.Sub(sent) > reportLifetime })
	u.sendTimes = append(u.sendTimes, now)
}

// requestsAhead returns how many requests a new one would find ahead of it. A
// request that was not refused before overtakes the resubmitted ones that wait, and
// doesn't count them. Their share of other entries' waiting requests is assumed to
// be the same as of this entry's.
func (u *upstream) requestsAhead(now time.Time, othersRatio float64, resubmitted bool) int {
	load, age := u.load(now, othersRatio)
	if resubmitted || u.waitingResubmitted == 0 {
		return load
	}
	load -= u.waitingResubmitted
	if othersWaiting := u.reported.Waiting - u.waiting; othersWaiting > 0 && age <= reportLifetime {
		load -= othersWaiting * u.waitingResubmitted / u.waiting
	}
	return max(0, load)
}

// observe takes in a report that describes the upstream as it was some time ago. It
// ignores a report older than the last one.
func (u *upstream) observe(now time.Time, load *Load, ago time.Duration) {
	if load == nil || now.Add(-ago).Before(u.reportedAt) {
		return
	}
	u.reported = *load
	u.reportedAt = now.Add(-ago)
	u.reportedByAgent = ago > 0
}

func (u *upstream) slots() int {
	if u.view.Slots > 0 {
		return u.view.Slots
	}
	return max(1, u.reported.Slots)
}

// resetFailures resets the failure count and ends an ejection.
func (u *upstream) resetFailures() {
	u.failures = 0
	u.ejectedUntil = time.Time{}
	u.ejectionTime = 0
}

// countFailure counts a failure and ejects the upstream if there were too many.
func (u *upstream) countFailure(now time.Time, unreachable bool) {
	u.failures++
	u.failedAt = now
	switch {
	case u.ejectionTime > 0:
		u.ejectionTime = min(maxEjectionTime, 2*u.ejectionTime)
	case unreachable:
		u.ejectionTime = unreachableEjectionTime
	case u.failures >= ejectionThreshold:
		u.ejectionTime = baseEjectionTime
	default:
		return
	}
	u.ejectedUntil = now.Add(u.ejectionTime)
}

// usable reports whether a request may be sent to the upstream. An ejected upstream
// takes one request at a time once its ejection time is over, until one succeeds.
func (u *upstream) usable(now time.Time) bool {
	if u.ejectionTime == 0 {
		return true
	}
	return !now.Before(u.ejectedUntil) && u.probe == ""
}
