package balancer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryvalve/identifier"
	"celeryvalve/limiter"
)

const (
	// minShare is the least share of a limit that one entry gets, in requests per second,
	// unless the limit itself is lower. In any span each entry may send one request more
	// than its share of it; with few shares that sum stays near the limit.
	minShare = 4.0
	// takeoverDelay is the time before an entry uses a share that another one may have
	// used. Within it the other entry has learned that its share has passed on, or is not
	// heard any more.
	takeoverDelay = 2200 * time.Millisecond
	// unusedShareTimeout is the time without a request after which the time to first byte
	// of an upstream with a limit counts as unknown, as it may have become shorter and only
	// this entry can find out.
	unusedShareTimeout = 5 * time.Second
)

// LimitChange reports that the known limit of an upstream has changed.
type LimitChange struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Limit       limiter.RequestLimit
	// Request is the request whose answer said so. It is empty if another entry got the
	// answer.
	Request identifier.RequestID
}

// TakeLimitChanges returns the changes of limits since the last call.
func (r *Reducer) TakeLimitChanges() []LimitChange {
	changes := r.limitChanges
	r.limitChanges = nil
	return changes
}

// observeLimit takes in what an answer of an upstream says of its limit.
func (r *Reducer) observeLimit(now time.Time, e LimitStated) {
	u, ok := r.upstreams[e.Upstream]
	if !ok || u.view.Incarnation != e.Incarnation {
		return
	}
	r.setLimit(now, u, u.limit.Observe(now, e.Limit, e.UnderStamp), e.Request)
}

// learnLimit takes in the limit of an upstream as the entries together know it.
func (r *Reducer) learnLimit(now time.Time, u *upstream, limit limiter.RequestLimit) {
	if limit.Stamp > u.limit.Stamp {
		r.setLimit(now, u, limit, "")
	}
}

func (r *Reducer) setLimit(now time.Time, u *upstream, limit limiter.RequestLimit, request identifier.RequestID) {
	if limit == u.limit {
		return
	}
	u.limit = limit
	r.updateShare(now, u)
	r.limitChanges = append(r.limitChanges, LimitChange{
		Upstream: u.view.Upstream, Incarnation: u.view.Incarnation, Limit: limit, Request: request,
	})
}

// changeEntries takes in the entries that share the limits.
func (r *Reducer) changeEntries(now time.Time, entries []Entry) {
	if slices.Equal(entries, r.entries) {
		return
	}
	r.entries = slices.Clone(entries)
	r.entriesChangedAt = now
	r.attendantsDue = true
	for _, u := range r.upstreams {
		r.updateShare(now, u)
	}
}

// updateShare sets the pace at which this entry sends requests to the upstream. A share
// that another entry may have had is used takeoverDelay after the entries changed, but for
// the part that the upstream bears besides the shares of all.
func (r *Reducer) updateShare(now time.Time, u *upstream) {
	share, rank := r.shareOf(now, u)
	switch {
	case share == 0:
		u.pacer = nil
	case u.pacer == nil:
		first := later(now, r.entriesChangedAt.Add(takeoverDelay))
		if u.wholeShareFrom = first; first.After(now) && r.takeoverFraction(u) > 0 {
			first = now
		}
		// Entries whose shares begin together take turns.
		turn := time.Duration(float64(rank) * float64(time.Second) / r.paceOf(now, u))
		u.pacer = limiter.NewPacer(r.ownPace(now, u), first.Add(turn))
	default:
		u.pacer.SetRate(r.ownPace(now, u))
	}
}

// ownPace returns the requests per second that this entry, which has a share, may send to the
// upstream now: a part of its share until takeoverDelay has passed.
func (r *Reducer) ownPace(now time.Time, u *upstream) float64 {
	share := r.paceOf(now, u) / float64(u.holders)
	if fraction := r.takeoverFraction(u); fraction > 0 && now.Before(u.wholeShareFrom) {
		return fraction * share
	}
	return share
}

// shareOf returns this entry's share of what the upstream accepts, in requests per second, and
// its rank among the entries that have one. All entries rank each other alike for an
// upstream, those in its availability zone first. The first ones share the limit equally:
// as many as can have minShare, so that a low limit is held by one entry alone.
func (r *Reducer) shareOf(now time.Time, u *upstream) (share float64, rank int) {
	own := slices.IndexFunc(r.entries, func(e Entry) bool { return e.Name == r.cfg.Entry })
	if !u.limited() || own < 0 {
		return 0, 0
	}
	for _, e := range r.entries {
		if precedes(e, r.entries[own], u.view) {
			rank++
		}
	}
	u.holders = min(len(r.entries), holdersOf(r.topPace(u)))
	if rank >= u.holders {
		return 0, rank
	}
	return r.paceOf(now, u) / float64(u.holders), rank
}

// holdersOf returns how many entries share that many requests per second at most.
func holdersOf(pace float64) int {
	return max(1, int(pace/minShare))
}

// precedes reports whether entry a ranks before entry b for the upstream.
func precedes(a, b Entry, v UpstreamView) bool {
	if near := a.AvailabilityZone == v.AvailabilityZone; near != (b.AvailabilityZone == v.AvailabilityZone) {
		return near
	}
	return a.score(string(v.Upstream)) < b.score(string(v.Upstream))
}

// score orders the entries for a subject alike at all entries, differently for each subject.
func (e Entry) score(subject string) uint64 {
	return xxhash.Sum64String(subject + "\x00" + string(e.Name))
}

// withinLimit reports whether this entry may send a request to the upstream now.
func (u *upstream) withinLimit(now time.Time) bool {
	return !u.limited() || (u.pacer != nil && u.pacer.Ready(now))
}

// forgetOldEstimate drops the mean time to first byte if this entry has left its share of
// the limit unused for long.
func (u *upstream) forgetOldEstimate(now time.Time) {
	if u.limit.InForce && u.pacer.UnusedFor(now) >= unusedShareTimeout {
		u.firstByte = limiter.NewMean(firstByteWeight)
	}
}

// othersRatio returns how many requests the other entries are assumed to send to the
// upstream for each of this one, where ratio is that of all upstreams of the service. For one
// that an entry attends it follows from its own load, which is mostly that entry's.
func (u *upstream) othersRatio(ratio float64) float64 {
	if u.limit.InForce {
		return 0
	}
	if u.attendant != "" && !u.reportedAt.IsZero() {
		own := max(0, u.inFlight-u.sentSince(u.reportedAt))
		ratio = ratioOfOthers(own, u.reported.Running+u.reported.Waiting)
	}
	if u.cold.bound {
		return min(ratio, float64(u.holders-1))
	}
	return ratio
}

// reasonWithoutUpstream says why no upstream can be chosen for the request.
func (r *Reducer) reasonWithoutUpstream(now time.Time, s *request, policy ServicePolicy) Reason {
	for _, u := range r.byService[s.Service] {
		if r.eligible(now, s, u, policy) {
			if u.cold.bound {
				return Cold
			}
			return Limited
		}
	}
	if r.isEvacuated(now, s) {
		return Evacuated
	}
	if !r.firstRestEnd(now, &s.Request).IsZero() {
		return Resting
	}
	if r.homeless(&s.Request) {
		return NoHome
	}
	return NoUpstream
}
