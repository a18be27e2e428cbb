package submitter_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"celeryvalve/explainer"
	"celeryvalve/submitter"
)

// callersTime is how long a caller of a process waits for the answer to a change.
const callersTime = time.Second

// control stands for the control replicas and the links to them.
type control struct {
	delay    time.Duration // of a link, one way
	commit   time.Duration // how long the leader takes for a command
	replicas map[netip.AddrPort]replica
}

// replica is one control replica, as its callers see it.
type replica struct {
	// silent replicas answer nothing, as those that stand still or are cut off.
	silent bool
	// commits is set for the leader of the majority.
	commits bool
	// named is the leader that the replica knows, elected in term, or invalid. One that names itself and doesn't
	// commit has lost the majority and does not know it yet.
	named netip.AddrPort
	term  uint64
}

// wait waits for d, or returns the error of ctx once that ends.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// Call answers as the replica at addr does.
func (c *control) Call(ctx context.Context, addr netip.AddrPort, request any) (any, error) {
	r := c.replicas[addr]
	if err := wait(ctx, 2*c.delay); err != nil {
		return nil, err
	}
	_, isQuestion := request.(*submitter.LeaderRequest)
	switch {
	case isQuestion && !r.silent:
		return &submitter.LeaderAnswer{Leader: r.named, Term: r.term}, nil
	case r.silent, r.named == addr && !r.commits:
		<-ctx.Done()
		return nil, ctx.Err()
	case r.commits:
		return "done", wait(ctx, c.commit)
	default:
		return &submitter.Refused{Kind: explainer.Unavailable, Leader: r.named, Term: r.term}, nil
	}
}

// drawControl returns control replicas of which a majority is connected and has a leader, and the addresses of all.
func drawControl(t *rapid.T) (*control, []netip.AddrPort) {
	const oldTerm, newTerm = 4, 6
	c := &control{
		delay:    time.Duration(rapid.IntRange(1, 40).Draw(t, "delay")) * time.Millisecond,
		commit:   time.Duration(rapid.IntRange(1, 400).Draw(t, "commit")) * time.Millisecond,
		replicas: make(map[netip.AddrPort]replica),
	}
	n := rapid.SampledFrom([]int{3, 5, 7}).Draw(t, "replicas")
	var list []netip.AddrPort
	for i := range n {
		list = append(list, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7700))
	}
	order := rapid.Permutation(list).Draw(t, "order")
	lost := rapid.IntRange(0, (n-1)/2).Draw(t, "lost")
	leader, oldLeader := order[lost], order[0]
	for i, addr := range order {
		r := replica{named: leader, term: newTerm}
		switch {
		case addr == leader:
			r.commits = true
		case i < lost:
			// Cut off from the majority, and perhaps from the caller as well.
			r = replica{silent: rapid.Bool().Draw(t, "silent"), named: oldLeader, term: oldTerm}
		case rapid.Bool().Draw(t, "knowsNone"):
			r.named = netip.AddrPort{}
		}
		c.replicas[addr] = r
	}
	return c, list
}

// Guards against a process that spends its caller's second on a silent replica that it takes for the
// leader, while a majority has another one (incident SHORT).
func TestChangeIsTakenWithinTheCallersSecond(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c, addresses := drawControl(rt)
		believed := rapid.SampledFrom(addresses).Draw(rt, "believed")
		var err error
		var took time.Duration
		synctest.Test(t, func(t *testing.T) {
			before := &control{replicas: map[netip.AddrPort]replica{}}
			for _, addr := range addresses {
				before.replicas[addr] = replica{commits: addr == believed, named: believed, term: 2}
			}
			caller := &switchedCaller{}
			caller.now.Store(before)
			s := submitter.New(caller, addresses, clockwork.NewRealClock(), metrics.NewSet(), zap.NewNop())
			_, err = s.Submit(t.Context(), []byte("command"))
			require.NoError(t, err)
			caller.now.Store(c)
			took, err = submitWithin(t, s, callersTime)
			time.Sleep(2 * callersTime) // the requests to silent replicas have ended then
		})
		require.NoError(rt, err)
		require.LessOrEqual(rt, took, callersTime)
	})
}

// switchedCaller calls the control replicas of now.
type switchedCaller struct {
	now atomic.Pointer[control]
}

func (s *switchedCaller) Call(ctx context.Context, addr netip.AddrPort, request any) (any, error) {
	return s.now.Load().Call(ctx, addr, request)
}

// submitWithin submits a command for a caller that waits for the given time, and returns how long that took.
func submitWithin(t *testing.T, s *submitter.Submitter, timeout time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	begun := time.Now()
	_, err := s.Submit(ctx, []byte("command"))
	return time.Since(begun), err
}
