package controller_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/controller"
	"celeryvalve/identifier"
)

// originWorld reads chunks from the origin under leases, and counts for itself.
type originWorld struct {
	*replica
	requests []*controller.LeaseOrigin
	granted  []originRead
	counted  map[originRequest]bool
}

type originRequest struct {
	upstream identifier.Upstream
	id       uint64
}

// originRead is a grant in the eyes of its holder.
type originRead struct {
	request  *controller.LeaseOrigin
	token    identifier.FencingToken // of the holder
	expires  time.Time
	returned bool
}

const chunkSize identifier.ByteCount = 10

// ask sends a request, and counts a grant that is no repetition.
func (w *originWorld) ask(m *controller.LeaseOrigin) {
	sent := w.now
	answer := w.lease(m)
	if answer.Status != controller.OriginGranted {
		return
	}
	key := originRequest{m.Upstream, m.ID}
	if w.counted[key] {
		return
	}
	for _, other := range w.granted {
		same := other.request.Copy == m.Copy && overlap(other.request.Chunks, m.Chunks)
		running := !other.returned && other.expires.After(w.now) && other.request.Upstream != m.Upstream
		require.False(w.t, same && running && w.token(other.request.Upstream) == other.token, "two holders read one chunk of one copy")
	}
	w.counted[key] = true
	w.granted = append(w.granted, originRead{request: m, token: w.token(m.Upstream), expires: sent.Add(answer.LeaseDuration)})
}

// token returns that of the member, or zero. A lease ends with its membership.
func (w *originWorld) token(upstream identifier.Upstream) identifier.FencingToken {
	for _, m := range w.state.Members().Members {
		if m.Upstream == upstream {
			return m.Token
		}
	}
	return 0
}

func overlap(a, b controller.Chunks) bool {
	return a.First < b.First+b.Count && b.First < a.First+a.Count
}

// check: the copies' budget holds over all time, and each stretch of one window
// takes in at most the reserves of the two windows that it touches.
func (w *originWorld) check(copies int) {
	var total identifier.ByteCount
	for _, g := range w.granted {
		if !g.returned {
			total += g.request.Size
		}
	}
	windows := int(w.now.Sub(epoch)/controller.OriginWindow) + 1
	require.LessOrEqual(w.t, total, totalSize*identifier.ByteCount(copies+windows))
	for _, use := range w.state.OriginUse() {
		require.LessOrEqual(w.t, use.Granted, totalSize*identifier.ByteCount(copies))
		require.LessOrEqual(w.t, use.Reserve, totalSize)
	}
}

func (w *originWorld) giveBack(i int) {
	g := &w.granted[i]
	answer := w.apply(&controller.ReturnOrigin{
		Upstream: g.request.Upstream, Incarnation: 1, ID: g.request.ID, Manifest: g.request.Manifest, Chunks: g.request.Chunks, Copy: g.request.Copy,
	}).(*controller.MemberAnswer)
	g.returned = g.returned || answer.Changed
}

func (w *originWorld) draw(t *rapid.T) *controller.LeaseOrigin {
	m := lease(t, rapid.SampledFrom([]string{"u1", "u2", "u3"}).Draw(t, "upstream"), uint64(len(w.requests)+1), 0)
	first := rapid.IntRange(0, 99).Draw(t, "first")
	m.Chunks = controller.Chunks{First: first, Count: rapid.IntRange(1, 100-first).Draw(t, "count")}
	m.Size = chunkSize * identifier.ByteCount(m.Chunks.Count)
	m.Copy = rapid.IntRange(0, 2).Draw(t, "copy")
	m.Again = rapid.Bool().Draw(t, "again")
	return m
}

func TestOriginReadsStayInsideTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &originWorld{replica: newReplica(t), counted: make(map[originRequest]bool)}
		upstreams := rapid.SampledFrom([]string{"u1", "u2", "u3"})
		for _, name := range []string{"u1", "u2", "u3"} {
			w.announce(name, 1)
		}
		copies := rapid.IntRange(1, 2).Draw(t, "copies")
		w.submit("p", 0, engine)
		if copies == 2 {
			w.submit("q", 1, "[Services.drafting]\nFavour = \"TimeToReplicas\"\n[Transfers]\nOriginCopies = 2\n")
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				m := w.draw(t)
				w.requests = append(w.requests, m)
				w.ask(m)
			},
			"resend": func(t *rapid.T) {
				if len(w.requests) == 0 {
					t.Skip("no request yet")
				}
				w.ask(rapid.SampledFrom(w.requests).Draw(t, "request"))
			},
			"return": func(t *rapid.T) {
				if len(w.granted) == 0 {
					t.Skip("no grant yet")
				}
				w.giveBack(rapid.IntRange(0, len(w.granted)-1).Draw(t, "grant"))
			},
			"lose": func(t *rapid.T) {
				name := identifier.Upstream(upstreams.Draw(t, "upstream"))
				for _, m := range w.state.Members().Members {
					if m.Upstream == name {
						w.apply(&controller.Expire{Upstream: name, Token: m.Token})
					}
				}
			},
			"announce": func(t *rapid.T) { w.announce(upstreams.Draw(t, "upstream"), 1) },
			"pass time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds")) * time.Second)
			},
			"restore": func(*rapid.T) { w.restart() },
			"":        func(*rapid.T) { w.check(copies) },
		})
	})
}
