package stager

import (
	"time"

	"celeryvalve/declarer"
)

// Config configures a Reducer.
type Config struct {
	// RolloutTime is the time in which a release has to be in force, counted from when it is
	// wanted.
	RolloutTime time.Duration
}

const (
	// waves is the number of waves in which the engines of a service load, so that most
	// of them serve while some load.
	waves = 3
	// drainThreshold is the fraction of the chunks at which the engines of the first wave
	// stop taking new requests: their running requests end while the rest arrives. They
	// stop later if the rest takes longer than drainTime, in which most requests end.
	drainThreshold = 0.5
	drainTime      = 1200 * time.Millisecond
	// stallTimeout is how long no further chunk may arrive before such engines take requests
	// again: a few times what a chunk takes on a link of 8 Mbit/s shared by 8 of them.
	stallTimeout = 700 * time.Millisecond
	// stagedTTL is how long chunks that were read back count as verified before an order. For
	// an engine with requests it counts from the first reading: those that wait would run with
	// what it loads before that is verified again.
	stagedTTL = 1500 * time.Millisecond
	// discardRetryDelay is the pause after an order to discard that had no effect.
	discardRetryDelay = 5 * time.Second
	// retryDelay is the pause after a failure. orderTimeout is the time after which an
	// order that shows no effect is given again.
	retryDelay   = 300 * time.Millisecond
	orderTimeout = 5 * time.Second
)

const (
	// firstWaveStart is the part of Config.RolloutTime after which the first wave may load.
	firstWaveStart = 0.12
	// swapTime is about how long an engine under load is out for a release: its running
	// requests end, and it loads.
	swapTime = 1600 * time.Millisecond
	// rolloutMargin is how long before the end of Config.RolloutTime entries cease to send
	// requests to engines with an older release.
	rolloutMargin = 1200 * time.Millisecond
	// stragglers is the part of the engines of earlier waves that a wave doesn't wait for,
	// such as those with a narrow link.
	stragglers = 0.1
)

// Reducer decides when one engine stages and loads a release. It is not safe for
// concurrent use.
type Reducer struct {
	cfg      Config
	want     Wanted
	observed *Observed
	// lastOrders is Report.Orders of the last report.
	lastOrders uint64

	// progressedAt is when more of the wanted chunks last arrived, or when another release
	// became wanted.
	progressedAt time.Time

	staging  bool
	stagedAt time.Time
	// readSince is when the first of the staged chunks was read back.
	readSince time.Time
	staged    declarer.ReleaseNumber
	ordering  bool
	ordered   declarer.ReleaseNumber
	lastOrder Order
	// orderedAt is when the last order was given or accepted.
	orderedAt time.Time
	// retryAt is when the next Stage, Verify or Order is allowed after a failure, and discardAt
	// when the next Discard is.
	retryAt   time.Time
	discardAt time.Time
	proof     proof

	announced    declarer.ReleaseNumber
	hasAnnounced bool
}

// New returns a Reducer for an engine that has not been observed yet.
func New(cfg Config) *Reducer {
	return &Reducer{cfg: cfg}
}

// Reduce applies one event and returns the effects that the shell has to perform.
func (r *Reducer) Reduce(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Wanted:
		if e.Release != r.want.Release || e.HeldFraction > r.want.HeldFraction {
			r.progressedAt = now
		}
		r.want = r.keepTime(now, e)
	case Observed:
		r.observe(now, e)
	case Unreachable:
		r.observed = nil
	case Staged:
		r.staging = false
		r.proof.staged(e)
		if e.Verified {
			r.staged, r.stagedAt, r.readSince = e.Release, now, e.Began
		} else {
			r.staged = 0
			r.retryAt = now.Add(retryDelay)
		}
	case Verified:
		r.proof.verified(e)
		if e.Failed {
			r.retryAt = now.Add(retryDelay)
		}
		if r.observed != nil {
			r.proof.promote(r.observed.Report.Release)
		}
	case Ordered:
		r.takeOutcome(now, e.Outcome)
	case Discarded:
		r.ordering = false
		r.discardAt = now.Add(discardRetryDelay)
		if e.Outcome == Begun {
			r.proof.discarded()
		}
	}
	return append(r.announce(now), r.next(now)...)
}

// takeOutcome applies what became of an order to load.
func (r *Reducer) takeOutcome(now time.Time, outcome Outcome) {
	r.ordering = false
	r.staged = 0
	r.proof.ordered(r.lastOrder, outcome)
	if outcome == Begun || outcome == InEffect {
		r.orderedAt = now
		return
	}
	r.ordered = 0
	r.retryAt = now.Add(retryDelay)
}

// keepTime returns what is wanted, with the time as it counted before if that is over: entries
// refuse the earlier release from then on, also if control settles anew later.
func (r *Reducer) keepTime(now time.Time, e Wanted) Wanted {
	if e.Release == r.want.Release && !now.Before(r.timedSince().Add(r.cfg.RolloutTime-rolloutMargin)) {
		e.TimedSince = r.want.TimedSince
	}
	return e
}

// timedSince returns since when Config.RolloutTime counts.
func (r *Reducer) timedSince() time.Time {
	if r.want.TimedSince.Before(r.want.WantedSince) {
		return r.want.WantedSince
	}
	return r.want.TimedSince
}

// observe applies a report. The last order is forgotten if the report shows that it is
// in effect, that it ended without effect or that the engine restarted.
func (r *Reducer) observe(now time.Time, e Observed) {
	restarted := e.Report.Orders < r.lastOrders
	r.lastOrders = e.Report.Orders
	r.observed = &e
	if restarted {
		r.proof.restarted()
	}
	if r.ordering {
		return
	}
	r.proof.observe(e.Report, e.Standing)
	if r.ordered == 0 {
		return
	}
	done := e.Report.Release >= r.ordered
	if done || restarted || (!e.Report.Busy && now.Sub(r.orderedAt) > orderTimeout) {
		r.ordered = 0
	}
}

// announce announces what the engine serves whenever that changes.
func (r *Reducer) announce(now time.Time) []Effect {
	if r.observed == nil || !r.proof.settled {
		return nil
	}
	release := r.observed.Report.Release
	if release != r.proof.whole || (r.ordered != 0 && release < r.ordered) || r.shouldDrain(now) {
		release = 0
	}
	if r.hasAnnounced && release == r.announced {
		return nil
	}
	r.hasAnnounced, r.announced = true, release
	return []Effect{Announce{Release: release}}
}

// shouldDrain reports whether the engine is to take no new requests because it may load
// now: entries learn of it while the chunks are staged, so that no request is on its
// way to the engine when the order comes. For the first wave they learn of it while
// the rest of the chunks arrives, as long as chunks do arrive.
func (r *Reducer) shouldDrain(now time.Time) bool {
	if r.want.Release == 0 || r.observed.Report.Release >= r.want.Release || !r.mayLoad(now) {
		return false
	}
	progressing := now.Sub(r.progressedAt) <= stallTimeout
	return r.want.Held || (r.wave() == 0 && r.want.arrivesSoon() && progressing)
}

// arrivesSoon reports whether running requests may end while the rest of the chunks arrives.
func (w Wanted) arrivesSoon() bool {
	rest := time.Duration((1 - w.HeldFraction) * float64(w.CopyTime))
	return w.HeldFraction >= drainThreshold && rest <= drainTime
}

// next returns the Verify, Discard, Stage or Order that is due, if any.
func (r *Reducer) next(now time.Time) []Effect {
	if r.observed == nil || r.staging || r.ordering || r.proof.verifying || now.Before(r.retryAt) {
		return nil
	}
	if r.proof.due != 0 {
		r.proof.verifying = true
		return []Effect{Verify{Release: r.proof.due}}
	}
	report := r.observed.Report
	if r.shouldDiscard(now) {
		r.ordering = true
		return []Effect{Discard{Model: report.Model, Release: report.Release, Corrupt: r.proof.corrupt, ExpectedOrders: report.Orders}}
	}
	if r.ordered != 0 {
		return nil
	}
	if !r.want.Held || r.want.Release == 0 || report.Release >= r.want.Release || report.Busy {
		return nil
	}
	if !r.mayLoad(now) {
		return nil
	}
	if !r.isFresh(now) {
		r.staging = true
		return []Effect{Stage{Release: r.want.Release}}
	}
	r.ordering = true
	r.ordered = r.want.Release
	r.orderedAt = now
	r.lastOrder = Order{Model: r.want.Model, Release: r.want.Release, ExpectedOrders: report.Orders}
	return append(r.announce(now), r.lastOrder)
}

// shouldDiscard reports whether the engine holds a release that may be corrupt and can be
// ordered to give it up.
func (r *Reducer) shouldDiscard(now time.Time) bool {
	report := r.observed.Report
	return report.Release != 0 && report.Release == r.proof.suspect && !report.Busy && !now.Before(r.discardAt)
}

// isFresh reports whether the wanted release was staged so short ago that the engine may be
// ordered to load it.
func (r *Reducer) isFresh(now time.Time) bool {
	if r.staged != r.want.Release || now.Sub(r.stagedAt) > stagedTTL {
		return false
	}
	return r.observed.Report.isIdle() || now.Sub(r.readSince) <= stagedTTL
}

// wave returns the wave in which the engine loads, from 0.
func (r *Reducer) wave() int {
	return r.observed.Position.Rank % waves
}

// mayLoad reports whether the engine may load now: the earlier waves are done, or the
// last moment for its own wave has come. The first wave waits for its start. An engine that
// serves nothing loads at once.
func (r *Reducer) mayLoad(now time.Time) bool {
	if r.observed.Report.Release == 0 {
		return true
	}
	wave := r.wave()
	if !now.Before(r.latestStart(wave)) {
		return true
	}
	return wave > 0 && r.earlierWavesDone(wave)
}

// latestStart returns when a wave loads in any case. It leaves time for a swap by this wave
// and by each one after it.
func (r *Reducer) latestStart(wave int) time.Time {
	first := r.want.WantedSince.Add(time.Duration(firstWaveStart * float64(r.cfg.RolloutTime)))
	latest := r.timedSince().Add(r.cfg.RolloutTime - rolloutMargin - time.Duration(waves-wave)*swapTime)
	if wave == 0 || latest.Before(first) {
		return first
	}
	return latest
}

func (r *Reducer) earlierWavesDone(wave int) bool {
	outdated := 0
	for _, rank := range r.observed.Position.Outdated {
		if rank%waves < wave {
			outdated++
		}
	}
	return float64(outdated) <= stragglers*float64(r.observed.Position.Engines*wave)/waves
}
