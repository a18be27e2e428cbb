package coordinator

import (
	"sync"

	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// response is the outcome of a request.
type response struct {
	result any
	err    error
}

// waiter is a caller that waits for the response to its request. index and term
// are those of the log entry that its proposal became, or 0.
type waiter struct {
	id       replicator.RequestID
	index    recorder.Index
	term     recorder.Term
	response chan response
}

// waiters tracks the waiting callers, by request ID and by index of the log entry.
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
	w := &waiter{id: s.next, response: make(chan response, 1)}
	s.byID[w.id] = w
	return w
}

func (s *waiters) remove(id replicator.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(id)
}

func (s *waiters) removeLocked(id replicator.RequestID) *waiter {
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

// accept records the log entry that a proposal became.
func (s *waiters) accept(e replicator.Accepted) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.byID[e.ID]; w != nil {
		w.index, w.term = e.Index, e.Term
		s.byIndex[e.Index] = w
	}
}

func (s *waiters) finish(id replicator.RequestID, r response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.removeLocked(id); w != nil {
		w.response <- r
	}
}

// applied sends the result to the caller whose proposal became the entry. If the
// proposal was appended at this index in another term, the caller gets an
// OutcomeUnknownError.
func (s *waiters) applied(e recorder.Entry, result any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.byIndex[e.Index]
	if w == nil {
		return
	}
	s.removeLocked(w.id)
	if w.term == e.Term {
		w.response <- response{result: result}
		return
	}
	w.response <- response{err: newOutcomeUnknownError(w.index, w.term, nil)}
}

// failAccepted sends an OutcomeUnknownError to every caller whose proposal is in
// the log.
func (s *waiters) failAccepted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.byIndex {
		s.removeLocked(w.id)
		w.response <- response{err: newOutcomeUnknownError(w.index, w.term, nil)}
	}
}

// failAll fails every request: callers whose proposals are in the log get an
// OutcomeUnknownError that wraps err, the others get err.
func (s *waiters) failAll(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, w := range s.byID {
		s.removeLocked(id)
		if w.index > 0 {
			w.response <- response{err: newOutcomeUnknownError(w.index, w.term, err)}
			continue
		}
		w.response <- response{err: err}
	}
}
