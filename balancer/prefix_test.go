package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
	"celeryvalve/identifier"
	"celeryvalve/indexer"
)

// newPrefixReducer returns an entry in zone with the upstreams a, b, c and so on, whose
// engines keep that many tokens of prompts.
func newPrefixReducer(upstreams, tokens int) *balancer.Reducer {
	r := balancer.New(balancer.Config{RetryRatio: 0.1, RetryBurst: 2})
	keep := engine()
	keep.PrefixTokens = tokens
	r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "drafting", Engine: keep}}})
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: prefixViews(upstreams)})
	return r
}

func prefixViews(n int) []balancer.UpstreamView {
	var views []balancer.UpstreamView
	for i := range n {
		views = append(views, upstream(identifier.Upstream(rune('a'+i)), "drafting"))
	}
	return views
}

// promptRequest returns a request whose prompt shares a part of the given length.
func promptRequest(id, part string, shared int) balancer.Request {
	q := generationRequest(requestID(id))
	q.Prompt = []indexer.Part{{ID: part, Tokens: shared}, {ID: "own " + id, Tokens: 600}}
	q.PromptTokens = shared + 600
	q.Objective = 5 * time.Second
	q.Random = uint64(len(id))<<32 + uint64(id[len(id)-1])*7919 + uint64(id[0])
	return q
}

// read runs the request to its end and returns where.
func read(t *testing.T, r *balancer.Reducer, now time.Time, q balancer.Request) balancer.Send {
	t.Helper()
	send, ok := arrive(r, now, q).(balancer.Send)
	require.True(t, ok)
	r.Reduce(now, balancer.ResponseStarted{Request: q.ID, Status: 200})
	r.Reduce(now, balancer.ResponseCompleted{Request: q.ID})
	return send
}

// What is saved is weighed against the wait: the load is that of the upstream that holds the
// beginning, the other one idles. On engines that read 20.7 tokens a ms it pays from 320
// tokens on while the holder has a quarter of its slots free, from 900 on with two free,
// from 6,000 on when it is full, and from 10,000 on when four more wait there.
func TestSavedReadingIsWeighedAgainstTheWait(t *testing.T) {
	for _, c := range []struct {
		shared, running, waiting int
		follows                  string
	}{
		{shared: 40, follows: "mixed"},
		{shared: 40, running: 14, follows: "never"},
		{shared: 320, running: 12, follows: "always"},
		{shared: 320, running: 14, follows: "never"},
		{shared: 600, running: 14, follows: "mixed"},
		{shared: 900, running: 14, follows: "always"},
		{shared: 900, running: 16, follows: "never"},
		{shared: 6000, running: 16, follows: "always"},
		{shared: 6000, running: 16, waiting: 2, follows: "never"},
		{shared: 10_000, running: 16, waiting: 4, follows: "always"},
		{shared: 10_000, running: 16, waiting: 8, follows: "never"},
		{shared: 20_000, running: 16, waiting: 16, follows: "never"},
	} {
		t.Run(fmt.Sprintf("%d tokens, %d+%d", c.shared, c.running, c.waiting), func(t *testing.T) {
			n, holder := 0, 0
			for i := range 32 {
				r := newPrefixReducer(2, 300_000)
				first := read(t, r, start, promptRequest(fmt.Sprint("first", i), "p", c.shared))
				now := start.Add(time.Second)
				r.Reduce(now, balancer.LoadObserved{Upstream: first.Target.Upstream,
					Load: balancer.Load{Running: c.running, Waiting: c.waiting, Slots: 16}})
				send, ok := arrive(r, now, promptRequest(fmt.Sprint("next", i), "p", c.shared)).(balancer.Send)
				require.True(t, ok)
				n++
				if send.Target.Upstream == first.Target.Upstream {
					require.Equal(t, c.shared, send.HeldTokens)
					holder++
				}
			}
			switch c.follows {
			case "always":
				require.Equal(t, n, holder)
			case "never":
				require.Zero(t, holder)
			default:
				require.Greater(t, holder, n/8)
				require.Less(t, holder, n)
			}
		})
	}
}

// One failure each, at an idle entry: what the upstream held is not counted on afterwards.
func TestBeginningIsForgottenWithTheMemory(t *testing.T) {
	views := func(change func(*balancer.UpstreamView)) balancer.Event {
		v := prefixViews(1)
		change(&v[0])
		return balancer.UpstreamsChanged{Upstreams: v}
	}
	sent := func(r *balancer.Reducer, then balancer.Event) {
		arrive(r, start, promptRequest("q", "other", 900))
		r.Reduce(start, then)
	}
	for name, c := range map[string]struct {
		after func(r *balancer.Reducer)
		part  string
		held  int
	}{
		"nothing happens":       {func(*balancer.Reducer) {}, "p", 900},
		"restart":               {func(r *balancer.Reducer) { r.Reduce(start, views(func(v *balancer.UpstreamView) { v.Incarnation++ })) }, "p", 0},
		"swap of weights":       {func(r *balancer.Reducer) { r.Reduce(start, views(func(v *balancer.UpstreamView) { v.Release++ })) }, "p", 0},
		"crash":                 {func(r *balancer.Reducer) { r.Reduce(start, balancer.ConnectionRefused{Upstream: "a"}) }, "p", 0},
		"other weights than":    {func(r *balancer.Reducer) { sent(r, balancer.AttemptFailed{Request: "q", Cause: balancer.Misdirected}) }, "p", 0},
		"refused before it ran": {func(r *balancer.Reducer) { sent(r, balancer.AttemptFailed{Request: "q", Cause: balancer.NotExecuted}) }, "other", 0},
		"an error answer":       {func(r *balancer.Reducer) { sent(r, balancer.ResponseCompleted{Request: "q", IsError: true}) }, "other", 0},
		"memory too small":      {func(r *balancer.Reducer) { read(t, r, start, promptRequest("q", "other", 1000)) }, "p", 0},
		"switched off": {func(r *balancer.Reducer) {
			r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "drafting", Engine: engine()}}})
		}, "p", 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newPrefixReducer(1, 2000)
			read(t, r, start, promptRequest("first", "p", 900))
			c.after(r)
			q := promptRequest("next", c.part, 900)
			send, ok := arrive(r, start.Add(time.Second), q).(balancer.Send)
			require.True(t, ok)
			require.Equal(t, c.held, send.HeldTokens)
		})
	}
}

// A hot beginning at 60 requests a second to one entry, on 12 upstreams of which each serves
// some 13 a second: it is held where it is needed and nowhere else, and most are read there.
func TestHotBeginningIsHeldByEnoughUpstreams(t *testing.T) {
	r := newPrefixReducer(12, 300_000)
	line := newTimeline(time.Millisecond)
	busy := make(map[identifier.Upstream]int)
	held, sent, last := 0, 0, make(map[identifier.Upstream]int)
	for i := range 10_000 {
		if i%16 == 0 {
			q := promptRequest(fmt.Sprint("hot", i), "p", 4000)
			q.Random = uint64(i) * 0x9e3779b97f4a7c15
			send, ok := arrive(r, line.now, q).(balancer.Send)
			require.True(t, ok)
			u := send.Target.Upstream
			if busy[u]++; i >= 5000 {
				sent++
				last[u]++
				if send.HeldTokens > 0 {
					held++
				}
			}
			line.after(send.Forecast, func() { r.Reduce(line.now, balancer.ResponseStarted{Request: q.ID, Status: 200}) })
			line.after(send.Forecast+900*time.Millisecond, func() {
				busy[u]--
				r.Reduce(line.now, balancer.ResponseCompleted{Request: q.ID, Load: &balancer.Load{Running: busy[u], Slots: 16}})
			})
		}
		line.advance()
	}
	require.GreaterOrEqual(t, held*100, sent*98)
	require.GreaterOrEqual(t, len(last), 4, "one upstream can't serve all")
	require.LessOrEqual(t, len(last), 8, "more upstreams hold the beginning than serve it")
}

// Five entries, of which none knows what the others sent, at one request of each beginning an
// entry: each beginning is read at one upstream all the same, and not at up to five.
func TestEntriesWithUnlikeKnowledgeAgree(t *testing.T) {
	var entries []*balancer.Reducer
	for range 5 {
		entries = append(entries, newPrefixReducer(8, 300_000))
	}
	used := make(map[identifier.Upstream]bool)
	for part := range 40 {
		readers := make(map[identifier.Upstream]bool)
		for i, r := range entries {
			now := start.Add(time.Duration(part) * time.Second)
			readers[read(t, r, now, promptRequest(fmt.Sprint(part, "/", i), fmt.Sprint("p", part), 900)).Target.Upstream] = true
		}
		require.Len(t, readers, 1)
		for u := range readers {
			used[u] = true
		}
	}
	require.Len(t, used, 8)
}

func TestNothingIsSpentWhereEnginesKeepNothing(t *testing.T) {
	allocations := func(tokens int, prompt []indexer.Part) float64 {
		r := newPrefixReducer(8, tokens)
		q := promptRequest("q", "p", 900)
		q.Prompt = prompt
		return testing.AllocsPerRun(100, func() { read(t, r, start, q) })
	}
	prompt := []indexer.Part{{ID: "p", Tokens: 900}, {ID: "own", Tokens: 600}}
	require.Equal(t, allocations(0, nil), allocations(0, prompt))
	require.Less(t, allocations(0, prompt), allocations(1000, prompt))
	q := promptRequest("q", "p", 900)
	q.Prompt[1].Tokens = -1
	require.Equal(t, indexer.Unreadable, read(t, newPrefixReducer(2, 2000), start, q).IgnoredParts, "the request is served")
}
