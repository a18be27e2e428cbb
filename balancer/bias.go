package balancer

import (
	"math"
	"time"

	"celeryvalve/identifier"
)

const (
	// biasWeight is the weight of a new error in a bias: some fifty requests count.
	biasWeight = 0.02
	// biasHalfLife is the time without an error in which half of a bias is forgotten, so that
	// upstreams which nothing was sent to because of it are tried again.
	biasHalfLife = 2 * time.Second
)

// bias is the mean error of forecasts of first bytes.
type bias struct {
	mean      time.Duration
	learnedAt time.Time
}

// at returns the bias now. It is never negative: a forecast that is too long makes no
// request late.
func (b *bias) at(now time.Time) time.Duration {
	if b == nil {
		return 0
	}
	age := max(0, now.Sub(b.learnedAt))
	return time.Duration(float64(max(0, b.mean)) * math.Exp2(-age.Seconds()/biasHalfLife.Seconds()))
}

// add takes in an error.
func (b *bias) add(now time.Time, found time.Duration) {
	b.mean = b.at(now) + time.Duration(biasWeight*float64(found-b.at(now)))
	b.learnedAt = now
}

// biases are those of one service, apart for engines that this entry attends and for others, of
// whose load it knows less. Forecasts are corrected by them.
type biases struct{ attended, unattended bias }

// biasOf returns the bias of forecasts for the upstream, or nil for one that nobody attends.
func (r *Reducer) biasOf(service identifier.Service, u *upstream) *bias {
	if u.attendant == "" {
		return nil
	}
	b, ok := r.biases[service]
	if !ok {
		b = &biases{}
		r.biases[service] = b
	}
	if r.attends(u) {
		return &b.attended
	}
	return &b.unattended
}

// learnBias takes in when the first byte came. Requests that others overtake say nothing, and
// one that takes very long counts as one that misses its objective by as much again.
func (r *Reducer) learnBias(now time.Time, a *attempt) {
	b := r.biasOf(a.Service, a.target)
	if b == nil || a.Resubmitted || a.Objective <= 0 {
		return
	}
	b.add(now, min(now.Sub(a.sentAt), 2*a.Objective)-a.uncorrected)
}
