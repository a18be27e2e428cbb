package relayer

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/declarer"
)

const (
	// These defaults apply until limits are declared.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// headerSlack is added to the declared limit, since callers may count the head otherwise.
	headerSlack = 4 << 10
	// maxHeaderBytes limits the bytes of a head that are read at all, whatever is declared.
	maxHeaderBytes = 1 << 20
	// serverIdleMargin is added to the declared idle timeout, so that the server does
	// not close a connection just as a caller reuses it.
	serverIdleMargin = 2 * time.Second
)

// limits returns the limits in force for callers.
func (r *Relayer) limits() declarer.Limits {
	var l declarer.Limits
	if index := r.index.Load(); index != nil {
		l = index.Declaration.Limits
	}
	l.HeaderBytes = int(positiveOr(int64(l.HeaderBytes), defaultHeaderBytes))
	l.BodyBytes = positiveOr(l.BodyBytes, defaultBodyBytes)
	l.HeaderTimeout = positiveOr(l.HeaderTimeout, defaultHeaderTimeout)
	l.IdleTimeout = positiveOr(l.IdleTimeout, defaultIdleTimeout)
	return l
}

// Server returns an HTTP server for callers, which obeys the limits as they are declared: those of
// http.Server can't be changed while it serves.
func (r *Relayer) Server(addr string) *http.Server {
	timers := &connectionTimers{clock: r.clock, limits: r.limits, timers: make(map[net.Conn]clockwork.Timer)}
	return &http.Server{
		Addr:           addr,
		Handler:        r,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       zap.NewStdLog(r.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
		ConnState: func(conn net.Conn, state http.ConnState) {
			r.countConnection(conn, state)
			timers.change(conn, state)
		},
	}
}

func (r *Relayer) countConnection(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		r.meters.connections.Inc()
	}
}

// connectionTimers closes connections whose head does not arrive in time, or that are idle for too
// long. On a connection that was used before, the time of the head is a part of the idle time.
type connectionTimers struct {
	clock  clockwork.Clock
	limits func() declarer.Limits

	mu     sync.Mutex
	timers map[net.Conn]clockwork.Timer
}

// change starts or stops the timer of a connection.
func (t *connectionTimers) change(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if timer, ok := t.timers[conn]; ok {
		timer.Stop()
		delete(t.timers, conn)
	}
	var timeout time.Duration
	switch state {
	case http.StateNew:
		timeout = t.limits().HeaderTimeout
	case http.StateIdle:
		timeout = t.limits().IdleTimeout + serverIdleMargin
	default:
		return
	}
	t.timers[conn] = t.clock.AfterFunc(timeout, func() { _ = conn.Close() })
}

// headerBytes returns the size of a request's head as it was sent, but for the host.
func headerBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return int64(n)
}

// headersProblem returns what is wrong with the size of a request's headers, or "".
func headersProblem(r *http.Request, limits declarer.Limits) string {
	if n := headerBytes(r); n > int64(limits.HeaderBytes)+headerSlack {
		return fmt.Sprintf("the headers have %d bytes and the limit is %d (send smaller ones)", n, limits.HeaderBytes)
	}
	return ""
}
