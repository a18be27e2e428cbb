package balancer

import (
	"math"
	"time"

	"celeryvalve/identifier"
)

const (
	// failurePenalty is added for each consecutive failure of an upstream that is not
	// ejected yet. It halves each failureFade: an upstream that gets no requests because of
	// it could not end it by a success.
	failurePenalty = 100 * time.Millisecond
	failureFade    = 500 * time.Millisecond
	// failedWeight is the weight of one response in the share of failed ones, and
	// failedHalfLife the time without a response in which half of the share is forgotten.
	failedWeight   = 0.1
	failedHalfLife = 10 * time.Second
	// failedTolerance is by how much the share of an upstream may exceed that of the others
	// without being held against it. Of 10 responses, as many as count, 1 may fail by chance.
	failedTolerance = 0.1
	// failedCost is what a failed response costs its caller, in time: the wait until the
	// caller sends the request again, by the shortest of the usual Retry-After and resend.
	failedCost = time.Second
)

// failedShare is the share of an upstream's recent responses that failed. Some requests
// fail at any upstream, so that only the difference to the other upstreams of the service
// says something of this one.
type failedShare struct {
	share float64
	at    time.Time
}

func (f *failedShare) value(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.share * math.Exp2(-max(0, now.Sub(f.at)).Seconds()/failedHalfLife.Seconds())
}

func (f *failedShare) add(now time.Time, failed bool) {
	f.share = (1 - failedWeight) * f.value(now)
	if failed {
		f.share += failedWeight
	}
	f.at = now
}

// failedSum is the sum of the failed shares of a service's upstreams, and their number.
type failedSum struct {
	sum float64
	n   int
}

func (r *Reducer) failedShares(now time.Time, service identifier.Service) failedSum {
	total := failedSum{n: len(r.byService[service])}
	for _, u := range r.byService[service] {
		total.sum += u.failed.value(now)
	}
	return total
}

// greyPenalty returns the time that callers lose by responses that fail at the upstream
// and would not at others of its service, given failedShares. Of its consecutive failures
// only the part counts that the others don't have alike.
func (u *upstream) greyPenalty(now time.Time, failed failedSum) time.Duration {
	own, others := u.failed.value(now), 0.0
	if failed.n > 1 {
		others = (failed.sum - own) / float64(failed.n-1)
	}
	if own <= others {
		return 0
	}
	fade := math.Exp2(-max(0, now.Sub(u.failedAt)).Seconds() / failureFade.Seconds())
	consecutive := float64(u.failures) * float64(failurePenalty) * fade * (1 - others/own)
	return time.Duration(consecutive + max(0, own-others-failedTolerance)*float64(failedCost))
}
