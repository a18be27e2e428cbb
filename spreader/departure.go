package spreader

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"celeryvalve/connector"
	"celeryvalve/explainer"
	"celeryvalve/registrar"
)

const (
	// departureTimeout limits the wait for a majority. An upstream waits one second for the
	// confirmation of its report.
	departureTimeout = 700 * time.Millisecond
	// departureAttemptTimeout leaves time for a second call to a replica whose connection
	// was lost.
	departureAttemptTimeout = 300 * time.Millisecond
	departureRetryDelay     = 50 * time.Millisecond
)

// ReportDeparture merges the record of an upstream that accepts no new requests, as Report
// does, and returns once a majority of the control replicas hold it. An upstream that leaves
// may report only once, so the report must outlive this process and as many replicas as
// consensus does. It returns an error of kind Unavailable if it can't be told that a majority
// holds the record; the record stays in this process's table.
func (s *Spreader) ReportDeparture(ctx context.Context, r registrar.Record) (changed bool, err error) {
	if changed, err = s.Report(r); err != nil {
		return false, err
	}
	if known, ok := s.Find(r.Upstream); ok {
		r.Epoch = known.Epoch
	}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	replicas, missing := s.departureQuorum()
	answers := make(chan bool, len(replicas.Addresses))
	pending := 0
	for _, addr := range replicas.Addresses {
		if addr == s.cfg.Address {
			continue
		}
		pending++
		go func() { answers <- s.sendDeparture(ctx, addr, r, replicas.Index) }()
	}
	for ; missing > 0; pending-- {
		if pending < missing {
			return changed, explainer.New(explainer.Unavailable,
				fmt.Sprintf("%d more of %d control replicas must confirm that upstream %s leaves", missing, len(replicas.Addresses), r.Upstream),
				"report to another process")
		}
		if <-answers {
			missing--
		}
	}
	return changed, nil
}

// departureQuorum returns the control replicas and how many others of them have to hold a
// departure. Without a list that is one that doesn't exist.
func (s *Spreader) departureQuorum() (replicas Replicas, others int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replicas = *s.replicas
	others = len(replicas.Addresses)/2 + 1
	if s.ownReplicas != nil && slices.Contains(replicas.Addresses, s.cfg.Address) {
		others--
	}
	return replicas, others
}

// sendDeparture reports whether the replica has confirmed the record before ctx ended.
func (s *Spreader) sendDeparture(ctx context.Context, addr netip.AddrPort, r registrar.Record, index uint64) bool {
	for {
		err := s.callDeparture(ctx, addr, r, index)
		if err == nil {
			return true
		}
		s.log.Debug("Departure was not confirmed.", zap.Stringer("address", addr), zap.String("upstream", string(r.Upstream)), zap.Error(err))
		select {
		case <-ctx.Done():
			return false
		case <-s.clock.After(departureRetryDelay):
		}
	}
}

func (s *Spreader) callDeparture(ctx context.Context, addr netip.AddrPort, r registrar.Record, index uint64) error {
	ctx, cancel := context.WithTimeout(ctx, departureAttemptTimeout)
	defer cancel()
	answer, err := s.endpoint.Call(ctx, addr, &DepartureRequest{Record: r})
	if err != nil {
		return err
	}
	response, ok := answer.(*DepartureResponse)
	if !ok {
		return explainer.New(explainer.Internal, fmt.Sprintf("answer %T to a departure is not known", answer), "run the same release on all instances")
	}
	if response.Index > index {
		// A majority of a list that has changed need not be one of the new list.
		return explainer.New(explainer.Unavailable, "the list of control replicas is out of date", "try again")
	}
	return nil
}

// serveDeparture merges a departure that was reported to another process. Only a control
// replica confirms it.
func (s *Spreader) serveDeparture(_ context.Context, stream *connector.Stream, first any) {
	request, ok := first.(*DepartureRequest)
	if !ok {
		return
	}
	if s.checkRecord(DepartureKind, stream.Peer().Name, request.Record) != nil {
		return
	}
	s.recordNote(func() bool { return s.table.Merge(s.clock.Now(), request.Record) })
	s.mu.Lock()
	own := s.ownReplicas
	s.mu.Unlock()
	if own == nil {
		return
	}
	if err := stream.Send(&DepartureResponse{Index: own.Index}); err != nil {
		s.log.Debug("Can't confirm a departure.", zap.Error(err))
	}
}
