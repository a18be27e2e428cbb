package catcher_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/catcher"
)

var (
	start = time.Unix(1_700_000_000, 0)
	cfg   = catcher.Config{
		HedgeDelay: 250 * time.Millisecond, RetryDelay: time.Second,
		Timeout: time.Second, MaxTimeout: 8 * time.Second, AbandonDelay: 10 * time.Second,
	}
	a, b, d = addr(1), addr(2), addr(3)
)

func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 1)
}

// script feeds events to a Catcher at given times.
type script struct {
	t *testing.T
	c *catcher.Catcher
}

func newScript(t *testing.T, held catcher.Revision) *script {
	s := &script{t: t, c: catcher.New(cfg)}
	s.at(0, catcher.Held{Revision: held})
	return s
}

// at feeds an event and requires that it begins fetches from these peers.
func (s *script) at(after time.Duration, event catcher.Event, peers ...netip.AddrPort) {
	s.t.Helper()
	var began []netip.AddrPort
	for _, f := range s.c.Reduce(start.Add(after), event) {
		began = append(began, f.Peer)
	}
	require.Equal(s.t, peers, began)
}

func told(peer netip.AddrPort, r catcher.Revision) catcher.Told {
	return catcher.Told{Peer: peer, Revision: r}
}

// Guards against a stale peer that keeps a process from the one that comes back with the newest
// state, and is itself asked without end.
func TestPeerWithoutNewsIsAskedSeldom(t *testing.T) {
	for name, held := range map[string]catcher.Revision{"holds an older state": 3, "holds nothing": 0} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, held)
			s.at(0, told(a, 7), a)
			s.at(time.Millisecond, catcher.Left{Peer: a})
			s.at(2*time.Millisecond, catcher.Ended{Peer: a})
			s.at(3*time.Millisecond, told(b, held))
			s.at(4*time.Millisecond, told(d, 7), d)
			s.at(5*time.Millisecond, catcher.Held{Revision: 7})
			s.at(5*time.Millisecond, catcher.Ended{Peer: d})
			require.Equal(t, catcher.Progress{Held: 7, Announced: 7}, s.c.Progress())
		})
	}
}

// Guards against a loop of fetches from a peer that tells a revision and answers an older one.
func TestPeerThatAnswersLessThanItToldIsAskedOnceInRetryDelay(t *testing.T) {
	s := newScript(t, 6)
	fetches := 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		for range s.c.Reduce(now, told(a, 7)) {
			fetches++
			require.Empty(t, s.c.Reduce(now, catcher.Held{Revision: 6}))
			require.Empty(t, s.c.Reduce(now, catcher.Ended{Peer: a}))
		}
	}
	require.Equal(t, 10, fetches)
}

// Guards against a slow peer, or one that refuses, that keeps another from being asked.
func TestOtherPeerIsAskedWhileOneIsSlow(t *testing.T) {
	s := newScript(t, 1)
	s.at(0, told(a, 7), a)
	s.at(10*time.Millisecond, told(b, 7))
	s.at(20*time.Millisecond, told(d, 8), d)
	s.at(300*time.Millisecond, told(b, 8), b)
	s.at(310*time.Millisecond, catcher.Ended{Peer: a})
	s.at(320*time.Millisecond, told(a, 7))
	s.at(1100*time.Millisecond, told(a, 7), a)
}

// Guards against a peer whose answer always takes longer than the time that it is given.
func TestTimeoutGrowsWithFetchesThatExpire(t *testing.T) {
	c := catcher.New(cfg)
	now := start
	fetches := c.Reduce(now, told(a, 7))
	for _, want := range []time.Duration{1, 2, 4, 8, 8} {
		require.Equal(t, []catcher.Fetch{{Peer: a, Timeout: want * time.Second}}, fetches)
		now = now.Add(fetches[0].Timeout)
		fetches = c.Reduce(now, catcher.Ended{Peer: a, Expired: true})
	}
}

// Guards against a process that waits for good for a revision that was lost with its only
// disk, or that takes no later one below it.
func TestRevisionThatNobodyHoldsIsGivenUp(t *testing.T) {
	s := newScript(t, 3)
	s.at(0, told(a, 7), a)
	s.at(time.Millisecond, catcher.Left{Peer: a})
	s.at(2*time.Millisecond, catcher.Ended{Peer: a})
	confirmed := catcher.Told{Peer: b, Revision: 3, Confirmed: true}
	s.at(time.Second, confirmed)
	s.at(10*time.Second, told(b, 3))
	require.Equal(t, catcher.Progress{Held: 3, Announced: 7, BehindSince: start}, s.c.Progress())
	s.at(11*time.Second, confirmed)
	require.Equal(t, catcher.Progress{Held: 3, Announced: 3}, s.c.Progress())
	s.at(12*time.Second, told(b, 5), b)
}

// Guards against a revision that is given up while a peer still has it.
func TestRevisionThatAPeerHoldsIsNotGivenUp(t *testing.T) {
	s := newScript(t, 3)
	s.at(0, told(a, 7), a)
	for at := range 20 {
		s.c.Reduce(start.Add(time.Duration(at)*time.Second), catcher.Told{Peer: b, Revision: 3, Confirmed: true})
	}
	require.EqualValues(t, 7, s.c.Progress().Announced)
}
