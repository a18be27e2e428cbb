package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
)

// regionalEntry returns an entry in region a, with one upstream in each of the regions.
func regionalEntry(regions ...identifier.Region) *crashEntry {
	e := &crashEntry{Reducer: balancer.New(balancer.Config{Region: "a", RetryRatio: 1, RetryBurst: 100})}
	e.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "booking"}}})
	for i, region := range regions {
		v := upstream(identifier.Upstream(rune('p'+i)), "booking")
		v.Region, v.Incarnation = region, 1
		e.views = append(e.views, v)
	}
	e.change(start)
	return e
}

// Guards against any attempt outside of the homes: the first one, one after each kind of
// failure, a probe after an ejection, and one after upstreams or homes have changed.
func TestAttemptsStayWithinTheHomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.SampledFrom([]identifier.Region{"", "a", "b", "c"})
		homes := rapid.SliceOfN(regions, 0, 2)
		e := regionalEntry(rapid.SliceOfN(regions, 0, 6).Draw(t, "upstreams")...)
		now := start
		causes := []balancer.Cause{balancer.NotConnected, balancer.NotExecuted, balancer.Misdirected, balancer.ConnectionLost, balancer.ProtocolError}
		for range 20 {
			q := bookingRequest("x", true)
			q.MaximumAttempts = 4
			q.RouteHomes, q.OrganisationHomes = homes.Draw(t, "route"), homes.Draw(t, "organisation")
			effect := arrive(e.Reducer, now, q)
			for sent, ok := effect.(balancer.Send); ok; sent, ok = effect.(balancer.Send) {
				region := sent.Target.Region
				require.True(t, q.RouteHomes.Allows(region) && q.OrganisationHomes.Allows(region), "%q", region)
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 4).Draw(t, "what") {
				case 0:
					effect = e.Reduce(now, balancer.ResponseCompleted{Request: "x"})
				case 1:
					e.views[0].Region = regions.Draw(t, "moved")
					e.views[0].Incarnation++
					e.change(now)
					effect = e.Reduce(now, balancer.CallerGone{Request: "x"})
				case 2:
					q.RouteHomes = homes.Draw(t, "declared")
					e.Reduce(now, balancer.HomesChanged{Request: "x", RouteHomes: q.RouteHomes, OrganisationHomes: q.OrganisationHomes})
					if effect = e.Reduce(now, balancer.AttemptConnected{Request: "x"}); effect == (balancer.NoEffect{}) {
						require.True(t, q.RouteHomes.Allows(region), "the body goes there now")
						e.Reduce(now, balancer.CallerGone{Request: "x"})
					}
				default:
					effect = e.Reduce(now, balancer.AttemptFailed{Request: "x", Cause: rapid.SampledFrom(causes).Draw(t, "cause")})
				}
			}
		}
	})
}

// Guards against a refusal that names a wrong cause, or a wait that ends while nothing can
// have changed.
func TestRefusalWithinHomes(t *testing.T) {
	none := func(*crashEntry) {}
	for name, c := range map[string]struct {
		regions      []identifier.Region
		route, owner declarer.Homes
		before       func(e *crashEntry)
		reason       balancer.Reason
		earliest     time.Duration
	}{
		"no upstream there":    {[]identifier.Region{"a", "b"}, declarer.Homes{"c"}, nil, none, balancer.NoHome, 1500 * time.Millisecond},
		"nothing left by both": {[]identifier.Region{"a", "b"}, declarer.Homes{"a"}, declarer.Homes{"b"}, none, balancer.NoHome, 1500 * time.Millisecond},
		"an empty name":        {[]identifier.Region{"", "a"}, declarer.Homes{""}, nil, none, balancer.NoHome, 1500 * time.Millisecond},
		"no upstream at all":   {nil, declarer.Homes{"a"}, nil, none, balancer.NoUpstream, 1500 * time.Millisecond},
		"it drains there": {[]identifier.Region{"a", "b"}, declarer.Homes{"a"}, nil, func(e *crashEntry) {
			e.Reduce(start, balancer.LeavingStated{Upstream: "p", Incarnation: 1})
		}, balancer.NoUpstream, 1500 * time.Millisecond},
		"it rests there": {[]identifier.Region{"a", "b"}, declarer.Homes{"a"}, nil, func(e *crashEntry) {
			rest(e, start, "p", 1, time.Second)
		}, balancer.Resting, time.Second},
		"it rests elsewhere": {[]identifier.Region{"a", "b"}, declarer.Homes{"c"}, nil, func(e *crashEntry) {
			rest(e, start, "p", 1, time.Second)
		}, balancer.NoHome, 1500 * time.Millisecond},
		"it is limited there": {[]identifier.Region{"a", "b"}, declarer.Homes{"a"}, nil, func(e *crashEntry) {
			e.Reduce(start, balancer.LimitStated{Upstream: "p", Incarnation: 1, Limit: limiter.StatedLimit{Kind: limiter.LimitNamed, PerSecond: 1}})
		}, balancer.Limited, 600 * time.Millisecond},
		"it is full there": {[]identifier.Region{"a", "b"}, declarer.Homes{"a"}, nil, func(e *crashEntry) {
			e.Reduce(start, balancer.LoadObserved{Upstream: "p", Load: balancer.Load{Running: 16, Waiting: 900, Slots: 16}})
		}, balancer.Overloaded, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			e := regionalEntry(c.regions...)
			c.before(e)
			q := bookingRequest("x", true)
			q.RouteHomes, q.OrganisationHomes = c.route, c.owner
			refused := arrive(e.Reducer, start, q).(balancer.Refuse)
			require.Equal(t, c.reason, refused.Reason)
			require.GreaterOrEqual(t, refused.RetryAfter, c.earliest)
		})
	}
}

// Load pattern: an entry whose callers may only be served in another region, where each
// second upstream is full. Guards against a sample that the other region has no part in.
func TestHomesElsewhereAreSampledAsWell(t *testing.T) {
	e := regionalEntry("a", "b", "b")
	e.Reduce(start, balancer.LoadObserved{Upstream: "q", Load: balancer.Load{Running: 16, Waiting: 40, Slots: 16}})
	for i := range 50 {
		q := bookingRequest("x", true)
		q.Random, q.RouteHomes = uint64(i), declarer.Homes{"b"}
		require.Equal(t, identifier.Upstream("r"), arrive(e.Reducer, start, q).(balancer.Send).Target.Upstream)
		e.Reduce(start, balancer.CallerGone{Request: "x"})
	}
}
