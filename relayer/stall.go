package relayer

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"celeryvalve/balancer"
)

// errHandedOver ends the reads of an attempt whose request another one has answered.
var errHandedOver = errors.New("another attempt has taken over")

// stallDetector notices that an attempt's upstream has sent nothing for a timeout. An attempt that
// waits for bytes then hands the request over to another one, and goes on if no other upstream
// takes it over. One that is still connecting or sending breaks: it has no answer to lose.
type stallDetector struct {
	a *attempt

	mu    sync.Mutex
	timer interface {
		Stop() bool
		Reset(time.Duration) bool
	}
	// conn is the connection that the attempt reads from, or nil before.
	conn net.Conn
	// fired is set if the timeout has passed and the reads haven't noticed yet.
	fired bool
	// broke is set if the timeout had passed before the attempt read.
	broke bool
}

// start starts the timeout, anew if it has started.
func (s *stallDetector) start(timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		s.timer = s.a.relayer.clock.AfterFunc(timeout, s.fire)
		return
	}
	s.timer.Reset(timeout)
}

func (s *stallDetector) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
}

// fire interrupts the read in progress, or the attempt if it doesn't read yet.
func (s *stallDetector) fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		s.broke = true
		s.a.cancel()
		return
	}
	s.fired = true
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
}

// attach has the attempt read from the connection. It returns false if the timeout has passed.
func (s *stallDetector) attach(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
	return !s.broke
}

// detach ends the reads and the timeout. It returns false if the connection can't be used any
// more.
func (s *stallDetector) detach() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
	s.conn = nil
	return !s.fired && !s.broke
}

// close closes the connection that the attempt reads from.
func (s *stallDetector) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// hasBroken reports whether the timeout had passed before the attempt read.
func (s *stallDetector) hasBroken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broke
}

// take reports whether the timeout has passed, and lets the connection be read again.
func (s *stallDetector) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fired {
		return false
	}
	s.fired = false
	_ = s.conn.SetReadDeadline(time.Time{})
	return true
}

// Read reads from the connection. If the timeout passes before any byte has come, it hands the
// request over, and waits on if that fails.
func (s *stallDetector) Read(p []byte) (int, error) {
	for {
		n, err := s.conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !s.take() {
			return n, err
		}
		if s.a.ctx.Err() != nil {
			return 0, err
		}
		if !s.a.handOver() {
			return 0, errHandedOver
		}
	}
}

// handOver tries other upstreams while this attempt's one is silent. It returns true if none of
// them has begun to answer, so that this attempt goes on; else the request goes on with the
// effect in a.handedOver.
func (a *attempt) handOver() bool {
	x := a.exchange
	effect := a.reportBreak(balancer.FirstByteTimedOut)
	x.stalled = append(x.stalled, a)
	givenUp := x.runAttempts(effect)
	if givenUp == nil || len(x.stalled) == 0 {
		a.handedOver = givenUp
		if givenUp == nil {
			a.handedOver = balancer.NoEffect{}
		}
		return false
	}
	x.stalled = x.stalled[:len(x.stalled)-1]
	x.lastSend = a.send
	a.givenUp = givenUp
	x.log("No other upstream took over. Waiting for the silent one.", zap.String("upstream", string(a.send.Target.Upstream)))
	return true
}

// closeStalled closes the connections of the attempts that have handed over, since this one has
// an answer.
func (x *exchange) closeStalled() {
	for _, a := range x.stalled {
		a.stall.close()
	}
	x.stalled = nil
}
