package submitter

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/explainer"
)

const (
	callTimeout = time.Second
	retryPause  = 100 * time.Millisecond
	// skipDuration is how long a replica that did not answer is skipped, even if other
	// replicas still name it as the leader. A frozen leader is replaced within about that
	// time, and one that was late once is tried again while callers still wait.
	skipDuration = time.Second
)

// Caller sends one request to an address and returns its answer.
type Caller interface {
	Call(ctx context.Context, addr netip.AddrPort, request any) (any, error)
}

// Submitter finds the leader of the control replicas and submits commands to it.
type Submitter struct {
	caller  Caller
	clock   clockwork.Clock
	metrics submitterMetrics
	log     *zap.Logger

	mu        sync.Mutex
	addresses []netip.AddrPort
	next      int // position of the next replica to try, modulo the length of addresses
	leader    netip.AddrPort
	failedAt  map[netip.AddrPort]time.Time // when a replica last did not answer
}

// New returns a submitter that knows the addresses of the control replicas. Without any,
// Submit waits for SetAddresses.
func New(caller Caller, addresses []netip.AddrPort, clock clockwork.Clock, set *metrics.Set, log *zap.Logger) *Submitter {
	return &Submitter{
		caller: caller, clock: clock, metrics: newMetrics(set), log: log.Named("submitter"),
		addresses: addresses, failedAt: make(map[netip.AddrPort]time.Time),
	}
}

// SetAddresses replaces the addresses of the control replicas. It ignores an empty list.
func (s *Submitter) SetAddresses(addresses []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(addresses) > 0 {
		s.addresses = addresses
	}
}

// Submit sends the command until the leader has applied it, and returns the result of the
// state machine. It returns an error if a replica refuses the command with a kind other
// than Unavailable, or if ctx ends. In the second case the kind is Unavailable, and the
// command may or may not have been applied.
func (s *Submitter) Submit(ctx context.Context, data []byte) (any, error) {
	a := account{begun: s.clock.Now(), believed: s.knownLeader()}
	answer, err := s.submit(ctx, data, &a)
	s.report(&a, err)
	return answer, err
}

func (s *Submitter) submit(ctx context.Context, data []byte, a *account) (any, error) {
	for {
		addr := s.pickReplica()
		if !addr.IsValid() {
			if err := s.waitBeforeRetry(ctx); err != nil {
				return nil, err
			}
			continue
		}
		begun := s.clock.Now()
		answer, err := s.submitOnce(ctx, addr, data)
		a.add(addr, s.clock.Since(begun), answer, err)
		refused, isRefusal := answer.(*Refused)
		switch {
		case err != nil:
			s.markFailed(addr)
		case !isRefusal:
			return answer, nil
		case refused.Kind != explainer.Unavailable:
			return nil, explainer.New(refused.Kind, refused.Problem, refused.Remedy)
		default:
			s.useLeaderHint(refused.Leader)
		}
		if err := s.waitBeforeRetry(ctx); err != nil {
			return nil, err
		}
	}
}

func (s *Submitter) submitOnce(ctx context.Context, addr netip.AddrPort, data []byte) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.caller.Call(ctx, addr, &SubmitCommand{Data: data})
}

func (s *Submitter) waitBeforeRetry(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return explainer.Wrap(ctx.Err(), explainer.Unavailable, fmt.Sprintf("no leader of %d control replicas answered", s.addressCount()),
			"check that a majority of the control replicas runs, then submit again")
	case <-s.clock.After(retryPause):
		return nil
	}
}

// pickReplica returns the known leader. If none is known, it returns the next address in
// turn that did not fail recently, or the next one if all of them did, and treats it as
// the leader from then on.
func (s *Submitter) pickReplica() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader.IsValid() {
		return s.leader
	}
	if len(s.addresses) == 0 {
		return netip.AddrPort{}
	}
	for range s.addresses {
		addr := s.addresses[s.next%len(s.addresses)]
		s.next++
		if !s.recentlyFailed(addr) {
			s.leader = addr
			return addr
		}
	}
	s.leader = s.addresses[s.next%len(s.addresses)]
	return s.leader
}

func (s *Submitter) knownLeader() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

func (s *Submitter) addressCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.addresses)
}

func (s *Submitter) recentlyFailed(addr netip.AddrPort) bool {
	return s.clock.Since(s.failedAt[addr]) < skipDuration
}

// useLeaderHint makes leader, which a replica named, the known leader. If leader is not
// set or failed recently, no leader is known any more.
func (s *Submitter) useLeaderHint(leader netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = netip.AddrPort{}
	if leader.IsValid() && !s.recentlyFailed(leader) {
		s.leader = leader
	}
}

// markFailed records that the replica did not answer and forgets the known leader.
func (s *Submitter) markFailed(addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedAt[addr] = s.clock.Now()
	s.leader = netip.AddrPort{}
}
