package stager

import (
	"time"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

// Config sets the pace.
type Config struct {
	// Within is the time in which a release is to be in force, from when it is
	// wanted.
	Within time.Duration
}

const (
	// turns is into how many turns the engines of a service are dealt, so that most
	// of them serve while some load.
	turns = 3
	// emptyShare is the part of the chunks that the engines of the first turn have
	// when they take nothing new any more: what they run ends while the rest comes.
	emptyShare = 0.5
	// stalledAfter is for how long no more of them may come until such engines serve
	// again: a few times what a chunk takes on a link of 8 Mbit/s that 8 share.
	stalledAfter = 700 * time.Millisecond
	// fresh is for how long chunks that were read back count as whole.
	fresh = 1500 * time.Millisecond
	// retryAfter is the pause after a failure, and orderPatience the time after
	// which an order that shows no effect is given again.
	retryAfter    = 300 * time.Millisecond
	orderPatience = 5 * time.Second
)

// turnShares are the parts of Config.Within after which the engines of each turn
// begin, whether or not those before are done: what runs takes a quarter of it to
// end.
var turnShares = [turns]float64{0.12, 0.42, 0.68}

// Report is what the engine says of itself.
type Report struct {
	Model identifier.Model
	// Release is what it holds whole, or 0.
	Release declarer.ReleaseNumber
	// Busy says that an order is in progress.
	Busy bool
	// Orders is how many orders it has accepted since its start.
	Orders uint64
	// Running and Waiting are its requests.
	Running int
	Waiting int
}

// Event is an input of the reducer.
type Event interface{ isEvent() }

// Wanted says which release is wanted, and that its chunks are here or not.
type Wanted struct {
	Model   identifier.Model
	Release declarer.ReleaseNumber
	// Held says that all chunks of the release are here and verified.
	Held bool
	// Progress is the part of them that is.
	Progress float64
	// Since is when the time began in which the engine is to hold it, or a release
	// before it.
	Since time.Time
}

// Turn is where an engine stands among those of its service.
type Turn struct {
	Engines int
	// Rank is its place in a list that all agents have alike.
	Rank int
	// Behind are the ranks of the others that don't serve the wanted release yet.
	Behind []int
}

// Observed brings a report of the engine.
type Observed struct {
	Report Report
	Turn   Turn
}

// Unreachable says that the engine gave no report.
type Unreachable struct{}

// Staged ends a Stage.
type Staged struct {
	Release declarer.ReleaseNumber
	// Whole says that every chunk was read back and matched.
	Whole bool
}

// Ordered ends an Order.
type Ordered struct {
	// Accepted says that the order has begun or is in effect already.
	Accepted bool
}

func (Wanted) isEvent()      {}
func (Observed) isEvent()    {}
func (Unreachable) isEvent() {}
func (Staged) isEvent()      {}
func (Ordered) isEvent()     {}

// Effect is what the shell does.
type Effect interface{ isEffect() }

// Stage puts the chunks of the release into the engine's reach and reads them
// back. Staged must follow.
type Stage struct{ Release declarer.ReleaseNumber }

// Order orders the load. Ordered must follow.
type Order struct {
	Model   identifier.Model
	Release declarer.ReleaseNumber
	// Expect is the count of orders that the engine must have accepted.
	Expect uint64
}

// Announce says what the engine serves, or 0 while it takes nothing new.
type Announce struct{ Release declarer.ReleaseNumber }

func (Stage) isEffect()    {}
func (Order) isEffect()    {}
func (Announce) isEffect() {}

// Reducer decides for one engine. It is not safe for concurrent use.
type Reducer struct {
	cfg    Config
	want   Wanted
	report *Observed

	// progressedAt is when more of the wanted chunks came last.
	progressedAt time.Time

	staging  bool
	stagedAt time.Time
	staged   declarer.ReleaseNumber
	ordering bool
	ordered  declarer.ReleaseNumber
	// orderedAt is when the last order was given or accepted.
	orderedAt   time.Time
	pausedUntil time.Time

	announced declarer.ReleaseNumber
	said      bool
}

// New returns a reducer that knows nothing.
func New(cfg Config) *Reducer {
	return &Reducer{cfg: cfg}
}

// Reduce takes in one event and returns what to do.
func (r *Reducer) Reduce(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Wanted:
		if e.Release != r.want.Release || e.Progress > r.want.Progress {
			r.progressedAt = now
		}
		r.want = e
	case Observed:
		r.observe(now, e)
	case Unreachable:
		r.report = nil
	case Staged:
		r.staging = false
		if e.Whole {
			r.staged, r.stagedAt = e.Release, now
		} else {
			r.staged = 0
			r.pausedUntil = now.Add(retryAfter)
		}
	case Ordered:
		r.ordering = false
		r.staged = 0
		if e.Accepted {
			r.orderedAt = now
		} else {
			r.ordered = 0
			r.pausedUntil = now.Add(retryAfter)
		}
	}
	return append(r.announce(now), r.next(now)...)
}

// observe takes in a report. One that shows a restart, or that the order ended
// without effect, takes the order back.
func (r *Reducer) observe(now time.Time, e Observed) {
	before := r.report
	r.report = &e
	if r.ordered == 0 || r.ordering {
		return
	}
	restarted := before != nil && e.Report.Orders < before.Report.Orders
	done := e.Report.Release >= r.ordered
	if done || restarted || (!e.Report.Busy && now.Sub(r.orderedAt) > orderPatience) {
		r.ordered = 0
	}
}

// announce tells what the engine serves whenever that changes.
func (r *Reducer) announce(now time.Time) []Effect {
	if r.report == nil {
		return nil
	}
	serves := r.report.Report.Release
	if (r.ordered != 0 && serves < r.ordered) || r.empties(now) {
		serves = 0
	}
	if r.said && serves == r.announced {
		return nil
	}
	r.said, r.announced = true, serves
	return []Effect{Announce{Release: serves}}
}

// empties reports whether the engine is to take nothing new since its turn to
// load has come: entries hear of it while the chunks are staged, so that nothing
// is under way to the engine when the order comes. In the first turn they hear of
// it while the rest of the chunks comes, as long as it does.
func (r *Reducer) empties(now time.Time) bool {
	if r.want.Release == 0 || r.report.Report.Release >= r.want.Release || !r.mayLoad(now) {
		return false
	}
	comes := now.Sub(r.progressedAt) <= stalledAfter
	return r.want.Held || (r.turn() == 0 && r.want.Progress >= emptyShare && comes)
}

func (r *Reducer) next(now time.Time) []Effect {
	if r.report == nil || r.staging || r.ordering || r.ordered != 0 || now.Before(r.pausedUntil) {
		return nil
	}
	report := r.report.Report
	if !r.want.Held || r.want.Release == 0 || report.Release >= r.want.Release || report.Busy {
		return nil
	}
	if !r.mayLoad(now) {
		return nil
	}
	if r.staged != r.want.Release || now.Sub(r.stagedAt) > fresh {
		r.staging = true
		return []Effect{Stage{Release: r.want.Release}}
	}
	r.ordering = true
	r.ordered = r.want.Release
	r.orderedAt = now
	return append(r.announce(now), Order{Model: r.want.Model, Release: r.want.Release, Expect: report.Orders})
}

func (r *Reducer) turn() int {
	return r.report.Turn.Rank % turns
}

// mayLoad reports whether it is the engine's turn: those of the turns before are
// done, or its time has come. One that serves nothing loads at once, and so does
// the last one that is behind.
func (r *Reducer) mayLoad(now time.Time) bool {
	if r.report.Report.Release == 0 {
		return true
	}
	own := r.turn()
	if now.Sub(r.want.Since) >= time.Duration(turnShares[own]*float64(r.cfg.Within)) {
		return true
	}
	if own == 0 {
		return false
	}
	for _, rank := range r.report.Turn.Behind {
		if rank%turns < own {
			return false
		}
	}
	return true
}
