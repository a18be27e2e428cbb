package reader

import (
	"net/http"
	"sync"
	"time"
)

// Limit ends the reading of a body, unless that has ended already. It is safe for concurrent use.
type Limit struct {
	controller *http.ResponseController

	mu      sync.Mutex
	ended   bool
	expired bool
}

// NewLimit returns a limit on the reading of the body of the request that w answers.
func NewLimit(w http.ResponseWriter) *Limit {
	return &Limit{controller: http.NewResponseController(w)}
}

// Expire ends the reading. It does nothing after End.
func (l *Limit) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.expired = true
	// The error is ignored because response recorders in tests have no deadlines.
	_ = l.controller.SetReadDeadline(time.Unix(1, 0))
}

// End says that the reading has ended, and reports whether the limit had expired.
func (l *Limit) End() (expired bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	return l.expired
}
