package relayer

import (
	"time"

	"go.uber.org/zap"

	"celeryvalve/balancer"
)

// watchBeginning has the attempt looked at when its response must have begun.
func (a *attempt) watchBeginning(by time.Time) {
	if by.IsZero() {
		return
	}
	left := by.Sub(a.relayer.clock.Now())
	if a.unbegun != nil {
		a.unbegun.Reset(left)
		return
	}
	a.unbegun = a.relayer.clock.AfterFunc(left, func() { a.post(unbegun{}) })
}

func (a *attempt) stopWatchingBeginning() {
	if a.unbegun != nil {
		a.unbegun.Stop()
	}
}

// handleUnbegun withdraws the request from an upstream that must not begin it any more.
func (x *exchange) handleUnbegun(a *attempt) balancer.Effect {
	if a.eventsSent > 0 || x.ctx.Err() != nil {
		return balancer.Await{}
	}
	x.updateHomes()
	effect := x.relayer.reduce(balancer.AttemptUnbegun{
		Request:    x.request.ID,
		Attempt:    a.send.Attempt,
		PartlySent: x.responseStarted,
		Resumable:  x.mayResume(),
	})
	if p, ok := effect.(balancer.Postpone); ok {
		a.watchBeginning(p.BeginBy)
		return balancer.Await{}
	}
	x.end(a)
	x.relayer.meters.countBreak(balancer.NotBegun)
	x.log("Withdrew a request from an older release.", zap.String("upstream", string(a.send.Target.Upstream)),
		zap.Uint64("release", uint64(a.send.Target.Release)), zap.Duration("waited", x.relayer.clock.Since(a.beganAt)),
		zap.Duration("forecast", a.send.Forecast), zap.Bool("silent", a.silence.reported), zap.Bool("passed", x.responseStarted))
	return effect
}
