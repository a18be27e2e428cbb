package limiter

import (
	"math"
	"time"
)

// Rate is an exponentially decaying rate of events, per second.
type Rate struct {
	decayTime time.Duration
	value     float64
	last      time.Time
}

// NewRate returns a rate in which past events decay with the time constant
// decayTime.
func NewRate(decayTime time.Duration) *Rate {
	return &Rate{decayTime: decayTime}
}

// Add records n events at now.
func (r *Rate) Add(now time.Time, n float64) {
	r.value = r.At(now) + n/r.decayTime.Seconds()
	r.last = now
}

// At returns the rate at now.
func (r *Rate) At(now time.Time) float64 {
	if r.last.IsZero() {
		return 0
	}
	age := max(0, now.Sub(r.last))
	return r.value * math.Exp(-age.Seconds()/r.decayTime.Seconds())
}

// Mean is an exponentially weighted mean of durations, with their mean deviation.
type Mean struct {
	weight    float64
	value     time.Duration
	deviation time.Duration
}

// NewMean returns a mean in which each new value has the given weight, from 0 to 1.
func NewMean(weight float64) *Mean {
	return &Mean{weight: weight}
}

// Add records one value.
func (m *Mean) Add(value time.Duration) {
	if m.value == 0 {
		m.value = value
		return
	}
	m.deviation += time.Duration(m.weight * float64((value-m.value).Abs()-m.deviation))
	m.value += time.Duration(m.weight * float64(value-m.value))
}

// Low returns a duration that few values fall below: the mean less twice the
// deviation, or zero if the values vary too much for such a bound.
func (m *Mean) Low() time.Duration {
	return max(0, m.value-2*m.deviation)
}

// Value returns the mean, or zero before the first value.
func (m *Mean) Value() time.Duration {
	return m.value
}
