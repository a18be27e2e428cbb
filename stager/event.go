package stager

import (
	"time"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

// Report is the state that the engine reports.
type Report struct {
	Model identifier.Model
	// Release is the release that it has loaded completely, or 0.
	Release declarer.ReleaseNumber
	// Layers is the range that it holds, or nil if it doesn't say.
	Layers *Layers
	// Busy is set while an order is in progress.
	Busy bool
	// Orders is how many orders it has accepted since its start.
	Orders uint64
	// Running and Waiting are the numbers of its requests.
	Running int
	Waiting int
}

// isIdle reports whether the engine has no requests.
func (r Report) isIdle() bool {
	return r.Running == 0 && r.Waiting == 0
}

// Event is an input of the reducer.
type Event interface{ isEvent() }

// Wanted tells which release is wanted, and whether its chunks are here.
type Wanted struct {
	Model   identifier.Model
	Release declarer.ReleaseNumber
	// Held is set once all chunks of the release are here and verified.
	Held bool
	// HeldFraction is the fraction of the chunks that are here and verified.
	HeldFraction float64
	// CopyTime is the shortest time in which all chunks come, or 0 if that is not known.
	CopyTime time.Duration
	// WantedSince is when this release became wanted, or an earlier one that the engine does
	// not have either. Config.RolloutTime is counted from it.
	WantedSince time.Time
	// TimedSince is since when Config.RolloutTime counts, if control has not been steady ever
	// since WantedSince. Any earlier time has no effect.
	TimedSince time.Time
}

// RolloutPosition is the place of an engine among those of its service that load a release.
type RolloutPosition struct {
	Engines int
	// Rank is its index in a list that is the same on all agents.
	Rank int
	// Outdated lists the ranks of the other engines that don't serve the wanted release yet.
	Outdated []int
}

// Observed delivers a report of the engine.
type Observed struct {
	Report   Report
	Position RolloutPosition
	Standing Standing
}

// Unreachable reports that the engine did not answer the request for a report.
type Unreachable struct{}

// Staged delivers the result of a Stage.
type Staged struct {
	Release declarer.ReleaseNumber
	// Verified is set if every chunk was read back and matched its digest.
	Verified bool
	// Began is when the first of them was read.
	Began time.Time
	// Written is set if any chunk was written.
	Written bool
}

// Verified delivers the result of a Verify.
type Verified struct {
	Release declarer.ReleaseNumber
	// Failed is set if not all chunks could be read.
	Failed bool
	// Corrupt lists the chunks that did not match their digests.
	Corrupt []int
}

// Outcome is what became of an order.
type Outcome int

const (
	// Refused means that the engine won't carry out the order.
	Refused Outcome = iota
	// Begun means that the engine has begun the order.
	Begun
	// InEffect means that the order is in effect already by an earlier one.
	InEffect
	// Unanswered means that the engine may still accept the order.
	Unanswered
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"Refused", "Begun", "InEffect", "Unanswered"}[o]
}

// Ordered delivers the result of an Order.
type Ordered struct{ Outcome Outcome }

// Discarded delivers the result of a Discard.
type Discarded struct{ Outcome Outcome }

func (Wanted) isEvent()      {}
func (Observed) isEvent()    {}
func (Unreachable) isEvent() {}
func (Staged) isEvent()      {}
func (Verified) isEvent()    {}
func (Ordered) isEvent()     {}
func (Discarded) isEvent()   {}

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

// Verify reads back all staged chunks of the release, and writes none. Verified must follow.
type Verify struct{ Release declarer.ReleaseNumber }

// Discard orders the engine to give up the release, of which it may have taken the corrupt
// chunks, or any if there are none listed. It may keep layers that need none of them. Discarded
// must follow.
type Discard struct {
	Model          identifier.Model
	Release        declarer.ReleaseNumber
	Corrupt        []int
	ExpectedOrders uint64
}

// Announce announces the release that the engine serves, or 0 while it takes no new
// requests.
type Announce struct{ Release declarer.ReleaseNumber }

func (Stage) isEffect()    {}
func (Verify) isEffect()   {}
func (Order) isEffect()    {}
func (Discard) isEffect()  {}
func (Announce) isEffect() {}
