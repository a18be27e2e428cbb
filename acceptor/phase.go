package acceptor

import (
	"container/list"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Phase is what a connection waits for.
type Phase string

// Phases of a connection.
const (
	Unused  Phase = "Unused"  // for the first request
	Idle    Phase = "Idle"    // for another request
	Head    Phase = "Head"    // for the rest of a head
	Body    Phase = "Body"    // for the rest of a body
	Serving Phase = "Serving" // for an answer
	Answer  Phase = "Answer"  // for the client to read its answer
	Refused Phase = "Refused" // for the client to read why its head is not served
	Closed  Phase = "Closed"
)

const (
	// requestWait and answerWait are how long a client may be waited for that sends a request, or that
	// does not read its answer, before its connection may be closed for another one.
	requestWait = 500 * time.Millisecond
	answerWait  = 2 * time.Second
	// closeTries is how many connections are looked at, as each may just have got a request.
	closeTries = 4
)

// closable lists the phases in which a connection may be closed for another one, the best first, and
// how long each of them must have lasted.
var closable = []struct {
	phase Phase
	wait  time.Duration
}{
	{Refused, 0}, {Idle, 0}, {Unused, requestWait}, {Head, requestWait}, {Body, requestWait}, {Answer, answerWait},
}

// connections are the open connections of a server. Those of each phase are in the order in which
// they entered it.
type connections struct {
	limit int

	mu     sync.Mutex
	open   int
	queues map[Phase]*list.List
}

func newConnections(limit int) *connections {
	c := &connections{limit: limit, queues: make(map[Phase]*list.List)}
	for _, p := range closable {
		c.queues[p.phase] = list.New()
	}
	return c
}

// place is the place of a connection among those of its phase.
type place struct {
	phase   Phase
	element *list.Element
}

// waiting is a connection that entered its phase at a time.
type waiting struct {
	conn  *Conn
	since time.Time
}

// move takes the connection from its place to the end of another phase.
func (c *connections) move(conn *Conn, from place, to Phase, now time.Time) place {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from.element != nil {
		c.queues[from.phase].Remove(from.element)
	}
	if from.phase == "" {
		c.open++
	}
	if to == Closed && from.phase != Closed {
		c.open--
	}
	moved := place{phase: to}
	if q := c.queues[to]; q != nil {
		moved.element = q.PushBack(waiting{conn: conn, since: now})
	}
	return moved
}

// count returns how many connections are open.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// full reports whether there is no room for another connection.
func (c *connections) full() bool {
	return c.limit > 0 && c.count() >= c.limit
}

// next returns the connection to close for another one and its phase, or nil if there is none.
func (c *connections) next(now time.Time) (*Conn, Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range closable {
		first := c.queues[p.phase].Front()
		if first == nil {
			continue
		}
		if w := first.Value.(waiting); now.Sub(w.since) >= p.wait {
			return w.conn, p.phase
		}
	}
	return nil, ""
}

// makeRoom closes a connection if there is no room for another one. It reports whether there is.
func (s *Server) makeRoom() bool {
	for range closeTries {
		if !s.connections.full() {
			return true
		}
		c, phase := s.connections.next(s.cfg.Clock.Now())
		if c == nil {
			return false
		}
		if c.closeIn(phase) {
			s.meters.closedForAnother(phase)
			s.log.Warn("Closed a connection for a new client.", zap.String("phase", string(phase)), zap.Int("connections", s.cfg.MaxConnections))
		}
	}
	return !s.connections.full()
}
