package submitter

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryvalve/explainer"
)

const (
	callTimeout = time.Second
	retryPause  = 100 * time.Millisecond
	// silenceKept is how long a replica that did not answer is passed over, also
	// where others still name it as the leader.
	silenceKept = 3 * time.Second
)

// Caller sends one request to an address and returns its answer.
type Caller interface {
	Call(ctx context.Context, addr netip.AddrPort, request any) (any, error)
}

// Submitter finds the leader and submits commands to it.
type Submitter struct {
	caller Caller
	clock  clockwork.Clock

	mu        sync.Mutex
	addresses []netip.AddrPort
	next      int
	leader    netip.AddrPort
	silent    map[netip.AddrPort]time.Time
}

// New returns a submitter that starts with the control addresses.
func New(caller Caller, addresses []netip.AddrPort, clock clockwork.Clock) *Submitter {
	return &Submitter{caller: caller, clock: clock, addresses: addresses, silent: make(map[netip.AddrPort]time.Time)}
}

// SetAddresses replaces the addresses of the control replicas.
func (s *Submitter) SetAddresses(addresses []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(addresses) > 0 {
		s.addresses = addresses
	}
}

// Submit sends the command until a leader applied it or ctx ends. An error of
// kind Unavailable leaves open whether the command was applied.
func (s *Submitter) Submit(ctx context.Context, data []byte) (any, error) {
	for {
		addr := s.target()
		answer, err := s.try(ctx, addr, data)
		refused, isRefusal := answer.(*Refused)
		switch {
		case err != nil:
			s.passOver(addr)
		case !isRefusal:
			return answer, nil
		case refused.Kind != explainer.Unavailable:
			return nil, explainer.New(refused.Kind, refused.Problem, refused.Remedy)
		default:
			s.follow(refused.Leader)
		}
		if err := s.pause(ctx); err != nil {
			return nil, err
		}
	}
}

func (s *Submitter) try(ctx context.Context, addr netip.AddrPort, data []byte) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.caller.Call(ctx, addr, &SubmitCommand{Data: data})
}

func (s *Submitter) pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return explainer.Wrap(ctx.Err(), explainer.Unavailable, fmt.Sprintf("no leader of %d control replicas answered", len(s.addresses)),
			"check that a majority of the control replicas runs, then submit again")
	case <-s.clock.After(retryPause):
		return nil
	}
}

// target returns the leader that is known, or the next replica in turn that
// answers.
func (s *Submitter) target() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader.IsValid() {
		return s.leader
	}
	for range s.addresses {
		addr := s.addresses[s.next%len(s.addresses)]
		s.next++
		if !s.isSilent(addr) {
			s.leader = addr
			return addr
		}
	}
	s.leader = s.addresses[s.next%len(s.addresses)]
	return s.leader
}

func (s *Submitter) isSilent(addr netip.AddrPort) bool {
	return s.clock.Since(s.silent[addr]) < silenceKept
}

// follow takes the replica that another one names as the leader, if any.
func (s *Submitter) follow(leader netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = netip.AddrPort{}
	if leader.IsValid() && !s.isSilent(leader) {
		s.leader = leader
	}
}

// passOver leaves a replica that did not answer.
func (s *Submitter) passOver(addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[addr] = s.clock.Now()
	s.leader = netip.AddrPort{}
}
