package coordinator

import (
	"sync"

	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

type answer struct {
	result any
	err    error
}

// waiter is a caller that waits for the answer to its request.
type waiter struct {
	id     replicator.RequestID
	index  recorder.Index
	term   recorder.Term
	answer chan answer
}

// waiters are the callers that wait, by request and by entry of the log.
type waiters struct {
	mu      sync.Mutex
	next    replicator.RequestID
	byID    map[replicator.RequestID]*waiter
	byIndex map[recorder.Index]*waiter
}

func newWaiters() *waiters {
	return &waiters{
		byID:    make(map[replicator.RequestID]*waiter),
		byIndex: make(map[recorder.Index]*waiter),
	}
}

func (s *waiters) add() *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	w := &waiter{id: s.next, answer: make(chan answer, 1)}
	s.byID[w.id] = w
	return w
}

func (s *waiters) forget(id replicator.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(id)
}

func (s *waiters) remove(id replicator.RequestID) *waiter {
	w := s.byID[id]
	if w == nil {
		return nil
	}
	delete(s.byID, id)
	if s.byIndex[w.index] == w {
		delete(s.byIndex, w.index)
	}
	return w
}

// accept notes which entry a proposal became.
func (s *waiters) accept(e replicator.Accepted) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.byID[e.ID]; w != nil {
		w.index, w.term = e.Index, e.Term
		s.byIndex[e.Index] = w
	}
}

func (s *waiters) finish(id replicator.RequestID, a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.remove(id); w != nil {
		w.answer <- a
	}
}

// applied answers the caller whose proposal became the entry.
func (s *waiters) applied(e recorder.Entry, result any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.byIndex[e.Index]
	if w == nil {
		return
	}
	s.remove(w.id)
	if w.term == e.Term {
		w.answer <- answer{result: result}
		return
	}
	w.answer <- answer{err: newOutcomeUnknownError(w.index, w.term, nil)}
}

// loseLeadership answers the callers whose proposals are in the log.
func (s *waiters) loseLeadership() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.byIndex {
		s.remove(w.id)
		w.answer <- answer{err: newOutcomeUnknownError(w.index, w.term, nil)}
	}
}

// failAll answers everyone: callers whose proposals are in the log learn that
// the outcome is not known, the others get err.
func (s *waiters) failAll(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, w := range s.byID {
		s.remove(id)
		if w.index > 0 {
			w.answer <- answer{err: newOutcomeUnknownError(w.index, w.term, err)}
			continue
		}
		w.answer <- answer{err: err}
	}
}
