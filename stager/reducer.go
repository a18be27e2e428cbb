package stager

import (
	"time"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

// Config configures a Reducer.
type Config struct {
	// RolloutTime is the time in which a release has to be in force, counted from when it is
	// wanted.
	RolloutTime time.Duration
}

const (
	// stagedTTL is how long chunks that were read back count as verified.
	stagedTTL = 1500 * time.Millisecond
	// recheckInterval is how often the staged chunks of an engine that waits for its turn are
	// read back, so that those that turn bad there are replaced before the turn comes.
	recheckInterval = 2 * time.Second
	// retryDelay is the pause after a failure. orderTimeout is the time after which an
	// order that shows no effect is given again.
	retryDelay   = 300 * time.Millisecond
	orderTimeout = 5 * time.Second
	// firstSwap is the part of Config.RolloutTime after which the first engine may load, since
	// the release may be replaced at once.
	firstSwap = 0.12
	// rolloutMargin is how long before the end of Config.RolloutTime entries cease to send
	// requests to engines with an older release.
	rolloutMargin = 1200 * time.Millisecond
)

// Report is the state that the engine reports.
type Report struct {
	Model identifier.Model
	// Release is the release that it has loaded completely, or 0.
	Release declarer.ReleaseNumber
	// Busy is set while an order is in progress.
	Busy bool
	// Orders is how many orders it has accepted since its start.
	Orders uint64
	// Running and Waiting are the numbers of its requests.
	Running int
	Waiting int
}

// Event is an input of the reducer.
type Event interface{ isEvent() }

// Wanted tells which release is wanted, and whether its chunks are here.
type Wanted struct {
	Model   identifier.Model
	Release declarer.ReleaseNumber
	// Held is set once all chunks of the release are here and verified.
	Held bool
	// WantedSince is when this release became wanted, or an earlier one that the engine does
	// not have either. Config.RolloutTime is counted from it.
	WantedSince time.Time
}

// Observed delivers a report of the engine.
type Observed struct {
	Report   Report
	Position RolloutPosition
}

// Unreachable reports that the engine did not answer the request for a report.
type Unreachable struct{}

// Staged delivers the result of a Stage.
type Staged struct {
	Release declarer.ReleaseNumber
	// Verified is set if every chunk was read back and matched its digest.
	Verified bool
}

// Ordered delivers the result of an Order.
type Ordered struct {
	// Accepted is set if the order has begun or is in effect already.
	Accepted bool
}

func (Wanted) isEvent()      {}
func (Observed) isEvent()    {}
func (Unreachable) isEvent() {}
func (Staged) isEvent()      {}
func (Ordered) isEvent()     {}

// Effect is an action that the shell has to perform.
type Effect interface{ isEffect() }

// Stage copies the chunks of the release to where the engine loads them from, and
// reads them back. Staged must follow.
type Stage struct{ Release declarer.ReleaseNumber }

// Order orders the engine to load the release. Ordered must follow.
type Order struct {
	Model   identifier.Model
	Release declarer.ReleaseNumber
	// ExpectedOrders is how many orders the engine must have accepted before. It keeps an order
	// whose answer was lost from being given twice.
	ExpectedOrders uint64
}

// Announce announces the release that the engine serves, or 0 while it takes no new
// requests.
type Announce struct{ Release declarer.ReleaseNumber }

func (Stage) isEffect()    {}
func (Order) isEffect()    {}
func (Announce) isEffect() {}

// Reducer decides when one engine stages and loads a release. It is not safe for
// concurrent use.
type Reducer struct {
	cfg      Config
	want     Wanted
	observed *Observed

	rollout rollout
	// swapping is the release for which the engine takes no more requests, or 0. Its turn
	// doesn't pass once it has come.
	swapping declarer.ReleaseNumber

	staging  bool
	stagedAt time.Time
	staged   declarer.ReleaseNumber
	// checkedInTurn is set once the chunks were read back after the engine's turn had come.
	checkedInTurn bool
	// ready is the release whose chunks were all staged and verified at some time.
	ready    declarer.ReleaseNumber
	ordering bool
	ordered  declarer.ReleaseNumber
	// orderedAt is when the last order was given or accepted.
	orderedAt time.Time
	// retryAt is when the next Stage or Order is allowed after a failure.
	retryAt time.Time

	announced    declarer.ReleaseNumber
	hasAnnounced bool
}

// New returns a Reducer for an engine that has not been observed yet.
func New(cfg Config) *Reducer {
	return &Reducer{cfg: cfg, rollout: newRollout()}
}

// Reduce applies one event and returns the effects that the shell has to perform.
func (r *Reducer) Reduce(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Wanted:
		r.want = e
	case Observed:
		r.observe(now, e)
	case Unreachable:
		r.observed = nil
	case Staged:
		r.staging = false
		if e.Verified {
			r.staged, r.ready, r.stagedAt = e.Release, e.Release, now
		} else {
			r.staged = 0
			r.retryAt = now.Add(retryDelay)
		}
	case Ordered:
		r.ordering = false
		r.staged = 0
		if e.Accepted {
			r.orderedAt = now
		} else {
			r.ordered = 0
			r.retryAt = now.Add(retryDelay)
		}
	}
	r.takeTurn(now)
	return append(r.announce(), r.next(now)...)
}

// observe applies a report. The last order is forgotten if the report shows that it is
// in effect, that it ended without effect or that the engine restarted.
func (r *Reducer) observe(now time.Time, e Observed) {
	previous := r.observed
	r.observed = &e
	r.rollout.observe(now, r.want.Release, e.Position)
	if r.ordered == 0 || r.ordering {
		return
	}
	restarted := previous != nil && e.Report.Orders < previous.Report.Orders
	done := e.Report.Release >= r.ordered
	if done || restarted || (!e.Report.Busy && now.Sub(r.orderedAt) > orderTimeout) {
		r.ordered = 0
	}
}

// takeTurn decides whether the engine takes no more requests from now on, so that it may
// load. An engine that serves waits for its turn, and until its chunks are staged and verified.
func (r *Reducer) takeTurn(now time.Time) {
	switch {
	case r.swapping != r.want.Release:
		r.swapping = 0
	case r.swapping != 0:
		return
	}
	if r.observed == nil || !r.isOutdated() || !r.want.Held {
		return
	}
	elapsed := now.Sub(r.want.WantedSince)
	rollout := r.cfg.RolloutTime
	serves := r.observed.Report.Release != 0
	switch {
	case serves && r.ready != r.want.Release:
	case serves && elapsed < time.Duration(firstSwap*float64(rollout)):
	case serves && !r.rollout.isTurn(now, r.observed.Position, rollout-rolloutMargin-elapsed):
	default:
		r.swapping = r.want.Release
	}
}

// isOutdated reports whether the engine lacks the wanted release.
func (r *Reducer) isOutdated() bool {
	return r.want.Release != 0 && r.observed.Report.Release < r.want.Release
}

// announce announces what the engine serves whenever that changes. Entries learn that it
// takes no new requests while its chunks are read back, so that no request is on its way to
// it when the order comes.
func (r *Reducer) announce() []Effect {
	if r.observed == nil {
		return nil
	}
	release := r.observed.Report.Release
	if (r.ordered != 0 && release < r.ordered) || (r.swapping != 0 && r.want.Held && r.isOutdated()) {
		release = 0
	}
	if r.hasAnnounced && release == r.announced {
		return nil
	}
	r.hasAnnounced, r.announced = true, release
	return []Effect{Announce{Release: release}}
}

// next returns the Stage or Order that is due, if any. Chunks are staged as soon as they
// are here, and read back again once the turn of the engine has come.
func (r *Reducer) next(now time.Time) []Effect {
	if r.observed == nil || r.staging || r.ordering || r.ordered != 0 || now.Before(r.retryAt) {
		return nil
	}
	report := r.observed.Report
	if !r.want.Held || !r.isOutdated() || report.Busy {
		return nil
	}
	ttl := recheckInterval
	if r.swapping != 0 {
		ttl = stagedTTL
	}
	if r.staged != r.want.Release || now.Sub(r.stagedAt) > ttl || (r.swapping != 0 && !r.checkedInTurn) {
		r.staging = true
		r.checkedInTurn = r.swapping != 0
		return []Effect{Stage{Release: r.want.Release}}
	}
	if r.swapping == 0 {
		return nil
	}
	r.ordering = true
	r.ordered = r.want.Release
	r.orderedAt = now
	return append(r.announce(), Order{Model: r.want.Model, Release: r.want.Release, ExpectedOrders: report.Orders})
}
