package stager_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/declarer"
	"celeryvalve/stager"
)

const (
	modelLayers = 3
	modelChunks = 2 * modelLayers
	corrupt     = declarer.ReleaseNumber(99)
)

// engineModel is an engine whose staged chunks become corrupt by themselves, and that may accept
// an order long after it was sent.
type engineModel struct {
	staged  [modelChunks]declarer.ReleaseNumber // the release of each chunk, or corrupt
	held    [modelLayers][2]declarer.ReleaseNumber
	release declarer.ReleaseNumber
	orders  uint64
}

// order is an order on its way to the engine; from and to bound the layers.
type order struct {
	release  declarer.ReleaseNumber
	from, to int
	expected uint64
	outcome  stager.Outcome
	done     bool
}

// accept carries out an order.
func (e *engineModel) accept(o *order) {
	o.done = true
	var want [modelLayers][2]declarer.ReleaseNumber
	same := o.release == e.release
	for layer := o.from; layer < o.to; layer++ {
		want[layer] = [2]declarer.ReleaseNumber{e.staged[2*layer], e.staged[2*layer+1]}
		if e.held[layer][0] != 0 && o.release == e.release {
			want[layer] = e.held[layer]
		}
	}
	for layer := range modelLayers {
		same = same && (want[layer][0] != 0) == (e.held[layer][0] != 0)
	}
	switch {
	case same:
		o.outcome = stager.InEffect
	case o.expected != e.orders:
		o.outcome = stager.Refused
	default:
		o.outcome = stager.Begun
		e.held, e.release = want, o.release
		e.orders++
	}
}

func (e *engineModel) report() stager.Report {
	r := stager.Report{Model: "m", Release: e.release, Orders: e.orders}
	for _, layer := range e.held {
		if layer[0] == 0 {
			r.Release = 0
		}
	}
	return r
}

func (e *engineModel) isWhole(n declarer.ReleaseNumber) bool {
	for _, layer := range e.held {
		if layer != [2]declarer.ReleaseNumber{n, n} {
			return false
		}
	}
	return true
}

// agentModel carries out the effects of a reducer chunk by chunk.
type agentModel struct {
	t      *rapid.T
	engine *engineModel
	// announced is what entries know, also from the agents before this one.
	announced    declarer.ReleaseNumber
	hasAnnounced bool

	now     time.Time
	reducer *stager.Reducer
	effect  stager.Effect // in progress
	began   time.Time
	next    int // chunk
	corrupt []int
	written bool
	sent    *order
	late    []*order // orders of this agent and those before it
}

func (a *agentModel) reduce(event stager.Event) {
	for _, effect := range a.reducer.Reduce(a.now, event) {
		announce, ok := effect.(stager.Announce)
		if !ok {
			require.Nil(a.t, a.effect, "one thing at a time")
			a.effect, a.began, a.next, a.corrupt, a.written, a.sent = effect, a.now, 0, nil, false, nil
			continue
		}
		a.announced, a.hasAnnounced = announce.Release, true
		// An engine that lacks layers turns requests away.
		if announce.Release != 0 && a.engine.report().Release == announce.Release {
			require.True(a.t, a.engine.isWhole(announce.Release), "release %d is announced, the engine holds %v", announce.Release, a.engine.held)
		}
	}
}

func (a *agentModel) observe() {
	report := a.engine.report()
	standing := stager.Believed
	if a.hasAnnounced && a.announced != report.Release {
		standing = stager.Withheld
	}
	a.reduce(stager.Observed{Report: report, Standing: standing})
}

// step goes on with the effect in progress.
func (a *agentModel) step() {
	switch e := a.effect.(type) {
	case stager.Stage:
		a.stageChunk(e)
	case stager.Verify:
		if a.next == modelChunks {
			a.finish(stager.Verified{Release: e.Release, Corrupt: a.corrupt, Failed: rapid.IntRange(0, 4).Draw(a.t, "failed") == 0})
			return
		}
		if a.engine.staged[a.next] != e.Release {
			a.corrupt = append(a.corrupt, a.next)
		}
		a.next++
	case stager.Order:
		a.send(&order{release: e.Release, to: modelLayers, expected: e.ExpectedOrders}, func(o stager.Outcome) stager.Event { return stager.Ordered{Outcome: o} })
	case stager.Discard:
		kept := stager.SoundLayer(modelLayers, modelChunks, e.Corrupt)
		o := &order{release: e.Release, from: kept, to: kept + 1, expected: e.ExpectedOrders}
		if kept < 0 {
			o.from, o.to = 0, 0
		}
		a.send(o, func(o stager.Outcome) stager.Event { return stager.Discarded{Outcome: o} })
	}
}

// stageChunk reads a chunk back, or writes it if it isn't the release's. Once a chunk is written,
// all are read again.
func (a *agentModel) stageChunk(e stager.Stage) {
	switch {
	case a.next == modelChunks:
		a.finish(stager.Staged{Release: e.Release, Verified: true, Began: a.began, Written: a.written})
	case a.engine.staged[a.next] != e.Release:
		a.engine.staged[a.next] = e.Release
		a.written = true
	default:
		a.next++
	}
}

// send sends an order, or takes in its outcome. Its answer may be lost before or after the
// engine has accepted it.
func (a *agentModel) send(o *order, event func(stager.Outcome) stager.Event) {
	if a.sent == nil {
		a.sent = o
		a.late = append(a.late, o)
		return
	}
	switch {
	case rapid.IntRange(0, 3).Draw(a.t, "answer") == 0:
		a.finish(event(stager.Unanswered))
	case a.sent.done:
		a.finish(event(a.sent.outcome))
	}
}

func (a *agentModel) finish(event stager.Event) {
	a.effect = nil
	a.reduce(event)
}

// deliver lets the engine accept or refuse one of the orders that are under way.
func (a *agentModel) deliver() {
	var waiting []*order
	for _, o := range a.late {
		if !o.done {
			waiting = append(waiting, o)
		}
	}
	a.late = waiting
	if len(waiting) > 0 {
		a.engine.accept(rapid.SampledFrom(waiting).Draw(a.t, "order"))
	}
}

// For any times at which chunks become corrupt, orders arrive, answers are lost and agents or the
// engine restart, what is announced is whole: tokens were made with a corrupt layer.
func TestOnlyWholeWeightsAreAnnounced(t *testing.T) {
	announced := 0
	rapid.Check(t, func(t *rapid.T) {
		a := &agentModel{t: t, engine: &engineModel{}, now: start, reducer: newReducer()}
		want := held()
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			a.now = a.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			// Small numbers are drawn more often.
			switch n := rapid.IntRange(0, 199).Draw(t, "event"); {
			case n < 120:
				a.step()
			case n < 160:
				a.reduce(want)
				a.observe()
			case n < 185:
				a.deliver()
			case n < 193:
				a.engine.staged[rapid.IntRange(0, modelChunks-1).Draw(t, "chunk")] = corrupt
			case n < 195:
				want.Release = declarer.ReleaseNumber(rapid.IntRange(int(want.Release), 4).Draw(t, "wanted"))
				a.reduce(want)
			case n < 198:
				a.effect, a.reducer = nil, newReducer()
			default:
				*a.engine = engineModel{staged: a.engine.staged}
				a.late = nil // the connections are lost
			}
			if a.announced != 0 {
				announced++
			}
		}
	})
	require.NotZero(t, announced)
}
