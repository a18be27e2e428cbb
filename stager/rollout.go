package stager

import (
	"math"
	"time"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

const (
	// usualSwapTime is how long an engine under load takes no new requests for a release,
	// until swaps of this service were seen: its running requests end, and it loads.
	usualSwapTime = 1600 * time.Millisecond
	// minSwapTime and maxSwapTime limit the swap time that is planned with: a load alone
	// takes the one, and running requests may last longer than the other.
	minSwapTime = 400 * time.Millisecond
	maxSwapTime = 3 * time.Second
	// usualSwapWeight is how many measured swaps usualSwapTime counts as, and swapsRemembered
	// how many of the last ones count.
	usualSwapWeight = 4
	swapsRemembered = 32
	// turnaround is the time from the end of a swap until the next engine is out: the news of
	// it, and half of the interval at which engines are polled.
	turnaround = 300 * time.Millisecond
	// lostAfterSwaps is how many swap times an engine may be out before it is taken for one
	// that doesn't come back, and the others go on without it.
	lostAfterSwaps = 2
	// turnPatience is how long an engine whose turn has come may still serve before the next
	// one takes its turn: what the news of a swap takes to arrive, with room for lost messages.
	turnPatience = 700 * time.Millisecond
)

// Other is another engine of the service.
type Other struct {
	Upstream identifier.Upstream
	// Serves is the release with which it takes new requests, or 0 while it takes none.
	Serves declarer.ReleaseNumber
}

// RolloutPosition is the place of an engine among those of its service.
type RolloutPosition struct {
	// Others are the other engines that are alive, in the order in which engines load. It is
	// the same on all agents.
	Others []Other
	// Rank is how many of them come before this engine.
	Rank int
}

// rollout works out whether the turn of one engine has come. It sees the other engines, and
// plans with the time that is left, so that no message has to be agreed on: whoever is
// slow or silent costs the others some of their time, and more of them load at once then.
type rollout struct {
	swapTime time.Duration
	swaps    int // measured, at most swapsRemembered
	release  declarer.ReleaseNumber
	// outSince holds since when other engines take no requests, and dueSince since when it has
	// been the turn of others that still serve.
	outSince map[identifier.Upstream]time.Time
	dueSince map[identifier.Upstream]time.Time
}

func newRollout() rollout {
	return rollout{
		swapTime: usualSwapTime,
		outSince: make(map[identifier.Upstream]time.Time),
		dueSince: make(map[identifier.Upstream]time.Time),
	}
}

// observe notes which of the other engines are out, and measures how long they were.
func (r *rollout) observe(now time.Time, wanted declarer.ReleaseNumber, p RolloutPosition) {
	if r.release != wanted {
		r.release = wanted
		clear(r.dueSince)
	}
	present := make(map[identifier.Upstream]bool, len(p.Others))
	for _, o := range p.Others {
		present[o.Upstream] = true
		since, out := r.outSince[o.Upstream]
		switch {
		case o.Serves == 0 && !out:
			r.outSince[o.Upstream] = now
		case o.Serves != 0 && out:
			delete(r.outSince, o.Upstream)
			if o.Serves >= wanted {
				r.measure(now.Sub(since))
			}
		}
	}
	for upstream := range r.outSince {
		if !present[upstream] {
			delete(r.outSince, upstream)
		}
	}
}

func (r *rollout) measure(swap time.Duration) {
	swap = min(max(swap, minSwapTime), maxSwapTime)
	r.swaps = min(r.swaps+1, swapsRemembered)
	r.swapTime += (swap - r.swapTime) / time.Duration(usualSwapWeight+r.swaps)
}

// isTurn reports whether the engine at the position may take no more requests now, if all
// engines have to hold the release within left.
func (r *rollout) isTurn(now time.Time, p RolloutPosition, left time.Duration) bool {
	if left <= turnaround {
		return true
	}
	out, outdated := 0, 1
	for _, o := range p.Others {
		switch {
		case o.Serves == 0:
			if now.Sub(r.outSince[o.Upstream]) <= lostAfterSwaps*r.swapTime {
				out++
				outdated++
			}
		case o.Serves < r.release:
			outdated++
		}
	}
	slots := r.slots(outdated, left)
	for _, o := range p.Others[:p.Rank] {
		if out >= slots {
			return false
		}
		if o.Serves != 0 && o.Serves < r.release && !r.missedTurn(now, o.Upstream) {
			out++
		}
	}
	return out < slots
}

// slots returns how many engines have to be out at a time, so that all that are outdated
// take no more requests with the old release once left is over. The last ones may still load
// then: entries send no request to them, whether they are out or not. Half a swap of that is
// kept for engines that take longer than others.
func (r *rollout) slots(outdated int, left time.Duration) int {
	usable := left + r.swapTime/2
	return max(1, int(math.Ceil(float64(outdated)*float64(r.swapTime+turnaround)/float64(usable))))
}

// missedTurn reports whether an engine still serves long after its turn came, as one whose
// chunks haven't arrived does.
func (r *rollout) missedTurn(now time.Time, upstream identifier.Upstream) bool {
	since, ok := r.dueSince[upstream]
	if !ok {
		r.dueSince[upstream] = now
		return false
	}
	return now.Sub(since) > turnPatience
}
