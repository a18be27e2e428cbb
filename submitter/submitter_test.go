package submitter_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/explainer"
	"celeryvalve/submitter"
)

var addresses = []netip.AddrPort{
	netip.MustParseAddrPort("127.0.0.1:1"),
	netip.MustParseAddrPort("127.0.0.2:1"),
	netip.MustParseAddrPort("127.0.0.3:1"),
}

// replicas stand for the control replicas. Without command or leader, none answers.
type replicas struct {
	command func(ctx context.Context, addr netip.AddrPort) (any, error)
	leader  func(addr netip.AddrPort) (*submitter.LeaderAnswer, error)

	mu       sync.Mutex
	commands []netip.AddrPort // to which commands were sent
	asked    map[netip.AddrPort]int
}

func (r *replicas) Call(ctx context.Context, addr netip.AddrPort, request any) (any, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := request.(*submitter.LeaderRequest); ok {
		r.asked[addr]++
		answer, err := r.leader(addr)
		return answer, err
	}
	r.commands = append(r.commands, addr)
	r.mu.Unlock()
	defer r.mu.Lock()
	if r.command == nil {
		return nil, errors.New("unreachable")
	}
	return r.command(ctx, addr)
}

// timesAsked returns how often the replica was asked for the leader.
func (r *replicas) timesAsked(addr netip.AddrPort) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asked[addr]
}

// names returns a leader function of which all replicas name the leader.
func names(leader netip.AddrPort, term uint64) func(netip.AddrPort) (*submitter.LeaderAnswer, error) {
	return func(netip.AddrPort) (*submitter.LeaderAnswer, error) {
		return &submitter.LeaderAnswer{Leader: leader, Term: term}, nil
	}
}

func unreachable(netip.AddrPort) (*submitter.LeaderAnswer, error) {
	return nil, errors.New("unreachable")
}

func newSubmitter(r *replicas, addresses []netip.AddrPort) *submitter.Submitter {
	r.asked = make(map[netip.AddrPort]int)
	return submitter.New(r, addresses, clockwork.NewRealClock(), metrics.NewSet(), zap.NewNop())
}

func TestSubmitFollowsTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &replicas{leader: names(addresses[0], 1)}
		r.command = func(_ context.Context, addr netip.AddrPort) (any, error) {
			if addr != addresses[2] {
				return &submitter.Refused{Kind: explainer.Unavailable, Leader: addresses[2], Term: 2}, nil
			}
			return "done", nil
		}
		result, err := newSubmitter(r, addresses).Submit(t.Context(), []byte("command"))
		require.NoError(t, err)
		require.Equal(t, "done", result)
		require.Equal(t, []netip.AddrPort{addresses[0], addresses[2]}, r.commands)
	})
}

func TestSubmitPassesOverTheUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &replicas{leader: names(addresses[0], 1)}
		r.command = func(_ context.Context, addr netip.AddrPort) (any, error) {
			if addr == addresses[0] {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.leader = names(addresses[1], 2)
				return nil, errors.New("unreachable")
			}
			return "done", nil
		}
		result, err := newSubmitter(r, addresses).Submit(t.Context(), []byte("command"))
		require.NoError(t, err)
		require.Equal(t, "done", result)
	})
}

func TestSubmitReturnsARefusalForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &replicas{leader: names(addresses[0], 1)}
		r.command = func(context.Context, netip.AddrPort) (any, error) {
			return &submitter.Refused{Kind: explainer.InvalidInput, Problem: "bad command"}, nil
		}
		_, err := newSubmitter(r, addresses).Submit(t.Context(), []byte("command"))
		require.Equal(t, explainer.InvalidInput, explainer.KindOf(err))
	})
}

// Guards against a command that is sent again and again although no replica can ever take it.
func TestSubmitEndsAtOnceIfTheCommandCantBeEncoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &replicas{leader: names(addresses[0], 1)}
		r.command = func(context.Context, netip.AddrPort) (any, error) {
			return nil, explainer.New(explainer.InvalidInput, "the message is too long", "send less")
		}
		_, err := newSubmitter(r, addresses).Submit(t.Context(), []byte("command"))
		require.Equal(t, explainer.InvalidInput, explainer.KindOf(err))
		require.Len(t, r.commands, 1)
	})
}

func TestSubmitWithoutALeaderEndsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &replicas{leader: unreachable}
		ctx, cancel := context.WithTimeout(t.Context(), callersTime)
		defer cancel()
		_, err := newSubmitter(r, addresses).Submit(ctx, []byte("command"))
		require.Equal(t, explainer.Unavailable, explainer.KindOf(err))
		for _, addr := range addresses {
			require.Greater(t, r.timesAsked(addr), 1, "a leader may be elected while the caller waits")
		}
	})
}

// Guards against a release that finds no leader among replicas of the one before, which don't know the question
// for it and name the leader without its term.
func TestSubmitFindsTheLeaderAmongEarlierReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &replicas{leader: func(netip.AddrPort) (*submitter.LeaderAnswer, error) { return nil, &quic.StreamError{Remote: true} }}
		r.command = func(_ context.Context, addr netip.AddrPort) (any, error) {
			if addr != addresses[2] {
				return &submitter.Refused{Kind: explainer.Unavailable, Leader: addresses[2]}, nil
			}
			return "done", nil
		}
		s := newSubmitter(r, addresses)
		for range 2 {
			took, err := submitWithin(t, s, callersTime)
			require.NoError(t, err)
			require.Zero(t, took)
		}
	})
}

// Guards against a process that ends because its settings name no control replica.
func TestSubmitWithoutAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), callersTime)
		defer cancel()
		_, err := newSubmitter(&replicas{}, nil).Submit(ctx, []byte("command"))
		require.Equal(t, explainer.Unavailable, explainer.KindOf(err))
	})
}

// Guards against a claim that ends unanswered, since a leader that was late once is left alone
// for as long as callers wait (TestKilledEntryLeavesTheBookingToItsResend failed so once).
func TestSubmitReturnsToALeaderThatWasLateOnce(t *testing.T) {
	const callersWait = 3 * time.Second // a claim's timeout
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int32
		r := &replicas{leader: names(addresses[0], 1)}
		r.command = func(ctx context.Context, _ netip.AddrPort) (any, error) {
			if calls.Add(1) == 1 {
				<-ctx.Done() // the call's timeout
				return nil, ctx.Err()
			}
			return "done", nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), callersWait)
		defer cancel()
		result, err := newSubmitter(r, addresses).Submit(ctx, []byte("command"))
		require.NoError(t, err)
		require.Equal(t, "done", result)
	})
}

// Guards against large commands that are sent to other replicas, or again, while a leader with a slow disk or link
// still works on them.
func TestSlowLeaderGetsACommandOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &replicas{leader: names(addresses[0], 1)}
		r.command = func(ctx context.Context, _ netip.AddrPort) (any, error) { return "done", wait(ctx, callersTime*9/10) }
		_, err := newSubmitter(r, addresses).Submit(t.Context(), []byte("command"))
		require.NoError(t, err)
		require.Equal(t, []netip.AddrPort{addresses[0]}, r.commands)
	})
}

// Guards against a command that is sent anew each second to a leader whose disk takes longer, and whose answer to
// the first one nobody waits for (TestEvacuationOutlivesLosses failed so beside load).
func TestAnswerOfAVerySlowLeaderCounts(t *testing.T) {
	const commit, callersWait = 1600 * time.Millisecond, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		r := &replicas{leader: names(addresses[0], 1)}
		r.command = func(ctx context.Context, _ netip.AddrPort) (any, error) { return "done", wait(ctx, commit) }
		took, err := submitWithin(t, newSubmitter(r, addresses), callersWait)
		require.NoError(t, err)
		require.Equal(t, commit, took)
	})
}

// Guards against processes that ask the replicas once for each of the commands that wait.
func TestManyWaitingCommandsAskTogether(t *testing.T) {
	const commands, mostAsked = 200, 25 // 20 a second, and those that a first answer is waited for with
	synctest.Test(t, func(t *testing.T) {
		r := &replicas{leader: func(netip.AddrPort) (*submitter.LeaderAnswer, error) { return &submitter.LeaderAnswer{Term: 1}, nil }}
		s := newSubmitter(r, addresses)
		ctx, cancel := context.WithTimeout(t.Context(), callersTime)
		defer cancel()
		var done sync.WaitGroup
		for i := range commands {
			done.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				_, err := s.Submit(ctx, []byte("command"))
				require.Error(t, err)
			})
		}
		done.Wait()
		for _, addr := range addresses {
			require.LessOrEqual(t, r.timesAsked(addr), mostAsked)
		}
	})
}

func TestFindLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &replicas{leader: unreachable}
		s := newSubmitter(r, addresses)
		ctx, cancel := context.WithTimeout(t.Context(), callersTime)
		defer cancel()
		require.Equal(t, explainer.Unavailable, explainer.KindOf(s.FindLeader(ctx)))
		r.mu.Lock()
		r.leader = names(addresses[2], 1)
		r.mu.Unlock()
		require.NoError(t, s.FindLeader(t.Context()))
	})
}
