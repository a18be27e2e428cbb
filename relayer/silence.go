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

// silence notices that an attempt's upstream has sent nothing for a time. While the attempt waits
// for bytes, it then hands the request over to another one, and goes on if no other upstream
// takes it over. Before that it breaks, since nothing that it has could get lost.
type silence struct {
	a *attempt

	mu    sync.Mutex
	timer interface {
		Stop() bool
		Reset(time.Duration) bool
	}
	// conn is the connection that the attempt reads from, or nil before.
	conn net.Conn
	// fired is set if the time is over and the reads haven't noticed yet.
	fired bool
	// broke is set if the time was over before the attempt read.
	broke bool
}

// start lets the time begin, anew if it has begun.
func (s *silence) start(timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		s.timer = s.a.relayer.clock.AfterFunc(timeout, s.fire)
		return
	}
	s.timer.Reset(timeout)
}

func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
}

// fire interrupts the read in progress, or the attempt if it doesn't read yet.
func (s *silence) fire() {
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

// attach has the attempt read from the connection. It returns false if the time is over.
func (s *silence) attach(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
	return !s.broke
}

// detach ends the reads and the time. It returns false if the connection can't be used any
// more.
func (s *silence) detach() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
	s.conn = nil
	return !s.fired && !s.broke
}

// close closes the connection that the attempt reads from.
func (s *silence) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// hasBroken reports whether the time was over before the attempt read.
func (s *silence) hasBroken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broke
}

// take reports whether the time is over, and lets the connection be read again.
func (s *silence) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fired {
		return false
	}
	s.fired = false
	_ = s.conn.SetReadDeadline(time.Time{})
	return true
}

// Read reads from the connection. If the time is over before any byte has come, it hands the
// request over, and waits on if that fails.
func (s *silence) Read(p []byte) (int, error) {
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
	x.silent = append(x.silent, a)
	givenUp := x.runAttempts(effect)
	if givenUp == nil || len(x.silent) == 0 {
		a.handedOver = givenUp
		if givenUp == nil {
			a.handedOver = balancer.NoEffect{}
		}
		return false
	}
	x.silent = x.silent[:len(x.silent)-1]
	x.lastSend = a.send
	a.givenUp = givenUp
	x.log("No other upstream took over. Waiting for the silent one.", zap.String("upstream", string(a.send.Target.Upstream)))
	return true
}

// leaveSilent closes the connections of the attempts that have handed over, since this one has
// an answer.
func (x *exchange) leaveSilent() {
	for _, a := range x.silent {
		a.silence.close()
	}
	x.silent = nil
}
