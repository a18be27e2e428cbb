package relayer

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/balancer"
)

// The upstream of a stream that has begun is silent after stallFactor times the longest pause between
// events that counts as on time, and after minStallTimeout at least. Callers wait for eight times the
// pause that counts as on time.
const (
	stallFactor     = 4
	minStallTimeout = 1200 * time.Millisecond
)

// silence notices that the upstream of an attempt has neither sent nor taken in anything for a
// timeout. Only the exchange changes it, but for lastActivity.
type silence struct {
	// lastActivity is how long after the arrival of the request its connection last sent or received
	// bytes, in nanoseconds.
	lastActivity atomic.Int64

	// timer is nil if the timeout is 0, which means that there is none.
	timer   clockwork.Timer
	timeout time.Duration
	// since is when the attempt began, or when the last event was sent to the caller.
	since time.Time
	// reported is set from the moment at which the reducer was told, until the upstream goes on.
	reported bool
}

// watch starts the timeout.
func (a *attempt) watch(timeout time.Duration) {
	s := &a.silence
	s.since, s.timeout = a.relayer.clock.Now(), timeout
	switch {
	case timeout == 0:
		s.stop()
	case s.timer == nil:
		s.timer = a.relayer.clock.AfterFunc(timeout, func() { a.post(silent{}) })
	default:
		s.timer.Reset(timeout)
	}
}

// watchStream starts the timeout anew after an event.
func (a *attempt) watchStream() {
	s := &a.silence
	s.since = a.relayer.clock.Now() // the timer sees it when it fires
	switch {
	case s.timer == nil || a.eventsSent > 1:
	case a.route.Resumable:
		a.watch(max(minStallTimeout, stallFactor*a.route.BetweenEvents))
	default:
		s.stop()
	}
}

// noteActivity records that bytes were sent or received.
func (a *attempt) noteActivity() {
	a.silence.lastActivity.Store(int64(a.relayer.clock.Since(a.arrivedAt)))
}

// silentFor returns for how long the upstream has been silent.
func (a *attempt) silentFor() time.Duration {
	active := a.arrivedAt.Add(time.Duration(a.silence.lastActivity.Load()))
	return min(a.relayer.clock.Since(active), a.relayer.clock.Since(a.silence.since))
}

// stop ends the timeout.
func (s *silence) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// handleSilent tries another upstream while the attempt's one is silent, and goes on with both.
func (x *exchange) handleSilent(a *attempt) balancer.Effect {
	s := &a.silence
	if left := s.timeout - a.silentFor(); left > 0 {
		s.timer.Reset(left)
		return balancer.Await{}
	}
	s.timer.Reset(s.timeout) // another upstream may be ready by then
	x.updateHomes()
	effect := x.relayer.reduce(balancer.AttemptStalled{
		Request:    x.request.ID,
		Attempt:    a.send.Attempt,
		PartlySent: x.responseStarted,
		Resumable:  x.mayResume(),
	})
	send, another := effect.(balancer.Send)
	if !s.reported || another {
		x.relayer.meters.countSilence(another)
		x.log("Upstream is silent.", zap.String("upstream", string(a.send.Target.Upstream)), zap.Duration("silence", s.timeout),
			zap.Bool("passed", x.responseStarted), zap.String("another", string(send.Target.Upstream)))
	}
	s.reported = true
	if another {
		return effect
	}
	return balancer.Await{}
}
