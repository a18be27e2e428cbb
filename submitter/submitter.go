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
	callTimeout = 2 * time.Second
	retryPause  = 100 * time.Millisecond
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
}

// New returns a submitter that starts with the control addresses.
func New(caller Caller, addresses []netip.AddrPort, clock clockwork.Clock) *Submitter {
	return &Submitter{caller: caller, clock: clock, addresses: addresses}
}

// Submit sends the command until a leader applied it or ctx ends. An error of
// kind Unavailable leaves open whether the command was applied.
func (s *Submitter) Submit(ctx context.Context, data []byte) (any, error) {
	for {
		answer, err := s.try(ctx, data)
		refused, isRefusal := answer.(*Refused)
		if err == nil && !isRefusal {
			return answer, nil
		}
		if isRefusal && refused.Kind != explainer.Unavailable {
			return nil, explainer.New(refused.Kind, refused.Problem, refused.Remedy)
		}
		if isRefusal && refused.Leader.IsValid() {
			s.follow(refused.Leader)
		} else {
			s.forget()
		}
		if err := s.pause(ctx); err != nil {
			return nil, err
		}
	}
}

func (s *Submitter) try(ctx context.Context, data []byte) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.caller.Call(ctx, s.target(), &SubmitCommand{Data: data})
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

// target returns the leader that is known, or the next address in turn.
func (s *Submitter) target() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader.IsValid() {
		return s.leader
	}
	addr := s.addresses[s.next%len(s.addresses)]
	s.next++
	s.leader = addr
	return addr
}

func (s *Submitter) follow(leader netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = leader
}

func (s *Submitter) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = netip.AddrPort{}
}
