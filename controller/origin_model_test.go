package controller_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/controller"
	"celeryvalve/identifier"
)

// originSimulation models upstreams that read from the origin under leases. It
// tracks the granted leases independently of the state.
type originSimulation struct {
	*replica
	requests []*controller.LeaseOrigin
	leases   []heldLease
	counted  map[requestKey]bool
}

type requestKey struct {
	upstream identifier.Upstream
	id       uint64
}

// heldLease is a grant as its holder sees it.
type heldLease struct {
	request  *controller.LeaseOrigin
	token    identifier.FencingToken // member token of the holder
	expires  time.Time
	returned bool
}

const chunkSize identifier.ByteCount = 10

// request sends a request and counts its grant, unless it was resent. It requires
// that no other member has a running lease on the same chunks of the same copy.
func (s *originSimulation) request(m *controller.LeaseOrigin) {
	sent := s.now
	answer := s.lease(m)
	if answer.Status != controller.OriginGranted {
		return
	}
	key := requestKey{m.Upstream, m.ID}
	if s.counted[key] {
		return
	}
	for _, other := range s.leases {
		same := other.request.Copy == m.Copy && overlap(other.request.Chunks, m.Chunks)
		running := !other.returned && other.expires.After(s.now) && other.request.Upstream != m.Upstream
		require.False(s.t, same && running && s.memberToken(other.request.Upstream) == other.token, "two holders may read the same chunk of one copy")
	}
	s.counted[key] = true
	s.leases = append(s.leases, heldLease{request: m, token: s.memberToken(m.Upstream), expires: sent.Add(answer.LeaseDuration)})
}

// memberToken returns the token of the member, or zero if the upstream is not a
// member. A lease ends with the membership of its holder.
func (s *originSimulation) memberToken(upstream identifier.Upstream) identifier.FencingToken {
	for _, m := range s.state.Members().Members {
		if m.Upstream == upstream {
			return m.Token
		}
	}
	return 0
}

func overlap(a, b controller.Chunks) bool {
	return a.First < b.First+b.Count && b.First < a.First+a.Count
}

// check requires that each budget stays within its copies and the reserve of the
// current window, and that all grants together stay within the copies plus one
// reserve for each window that has started.
func (s *originSimulation) check(copies int) {
	var total identifier.ByteCount
	for _, g := range s.leases {
		if !g.returned {
			total += g.request.Size
		}
	}
	windows := int(s.now.Sub(epoch)/controller.OriginWindow) + 1
	require.LessOrEqual(s.t, total, totalSize*identifier.ByteCount(copies+windows))
	for _, use := range s.state.OriginUse() {
		require.LessOrEqual(s.t, use.Granted, totalSize*identifier.ByteCount(copies))
		require.LessOrEqual(s.t, use.Reserve, totalSize)
	}
}

func (s *originSimulation) returnLease(i int) {
	g := &s.leases[i]
	answer := s.apply(&controller.ReturnOrigin{
		Upstream: g.request.Upstream, Incarnation: 1, ID: g.request.ID, Manifest: g.request.Manifest, Chunks: g.request.Chunks, Copy: g.request.Copy,
	}).(*controller.MemberAnswer)
	g.returned = g.returned || answer.Changed
}

func (s *originSimulation) drawRequest(t *rapid.T) *controller.LeaseOrigin {
	m := lease(t, rapid.SampledFrom([]string{"u1", "u2", "u3"}).Draw(t, "upstream"), uint64(len(s.requests)+1), 0)
	first := rapid.IntRange(0, 99).Draw(t, "first")
	m.Chunks = controller.Chunks{First: first, Count: rapid.IntRange(1, 100-first).Draw(t, "count")}
	m.Size = chunkSize * identifier.ByteCount(m.Chunks.Count)
	m.Copy = rapid.IntRange(0, 2).Draw(t, "copy")
	m.Again = rapid.Bool().Draw(t, "again")
	return m
}

func TestOriginReadsStayInsideTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &originSimulation{replica: newReplica(t), counted: make(map[requestKey]bool)}
		upstreams := rapid.SampledFrom([]string{"u1", "u2", "u3"})
		for _, name := range []string{"u1", "u2", "u3"} {
			s.announce(name, 1)
		}
		copies := rapid.IntRange(1, 2).Draw(t, "copies")
		s.submit("p", 0, enginePatch)
		if copies == 2 {
			s.submit("q", 1, "[Services.drafting]\nFavour = \"TimeToReplicas\"\n[Transfers]\nOriginCopies = 2\n")
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				m := s.drawRequest(t)
				s.requests = append(s.requests, m)
				s.request(m)
			},
			"resend": func(t *rapid.T) {
				if len(s.requests) == 0 {
					t.Skip("no request yet")
				}
				s.request(rapid.SampledFrom(s.requests).Draw(t, "request"))
			},
			"return": func(t *rapid.T) {
				if len(s.leases) == 0 {
					t.Skip("no grant yet")
				}
				s.returnLease(rapid.IntRange(0, len(s.leases)-1).Draw(t, "grant"))
			},
			"lose": func(t *rapid.T) {
				name := identifier.Upstream(upstreams.Draw(t, "upstream"))
				for _, m := range s.state.Members().Members {
					if m.Upstream == name {
						s.apply(&controller.Expire{Upstream: name, Token: m.Token})
					}
				}
			},
			"announce": func(t *rapid.T) { s.announce(upstreams.Draw(t, "upstream"), 1) },
			"pass time": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds")) * time.Second)
			},
			"restore": func(*rapid.T) { s.restart() },
			"":        func(*rapid.T) { s.check(copies) },
		})
	})
}
