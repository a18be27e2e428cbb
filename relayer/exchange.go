package relayer

import (
	"context"
	"net/http"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"celeryvalve/balancer"
	"celeryvalve/dialer"
	"celeryvalve/reader"
)

// message is what an attempt or its timer tells the exchange.
type message struct {
	attempt *attempt
	content any
}

// The contents of messages.
type (
	// connected asks whether the request is still to be sent. The attempt waits for proceed.
	connected struct{}
	// silent says that the attempt's timer has fired.
	silent struct{}
	// unbegun says that the time has come at which the response must have begun.
	unbegun struct{}
	// streamed brings one event of a stream.
	streamed struct {
		response *http.Response
		event    []byte
		id       string
	}
	// finished says that the stream is complete.
	finished struct{ response *http.Response }
	// received brings a whole response that is not a stream.
	received struct {
		response *http.Response
		body     *reader.Buffer
	}
	// failed says that the attempt ended without a complete response.
	failed struct{ cause balancer.Cause }
)

// run executes the reducer's effects until the request is answered. All attempts in progress are
// read: the first whole response is the caller's, or the first event that goes on with a stream.
func (x *exchange) run(effect balancer.Effect) {
	x.messages, x.done = make(chan message), make(chan struct{})
	defer x.closeAttempts()
	for x.execute(effect) {
		effect = x.handle(<-x.messages)
	}
	if !x.replied {
		// The caller has left, but it may still read: without an answer net/http would send a
		// success.
		x.abort()
	}
}

// execute executes an effect, and reports whether the request is still to be answered.
func (x *exchange) execute(effect balancer.Effect) bool {
	switch e := effect.(type) {
	case balancer.Send:
		x.attempts++
		if e.Attempt == 1 {
			x.relayer.meters.countAdmission(&x.request, e.Admission)
		}
		x.begin(e)
		return true
	case balancer.Await:
		return len(x.inProgress) > 0
	case balancer.Refuse:
		x.refuse(e)
	case balancer.Fail:
		x.fail(e)
	}
	return false
}

// begin starts an attempt.
func (x *exchange) begin(send balancer.Send) {
	x.relayer.meters.attempts.Inc()
	if send.Cold {
		x.relayer.meters.coldAttempts.Inc()
	}
	x.relayer.meters.countPrompt(send)
	a := &attempt{
		exchange: x, send: send, proceed: make(chan struct{}, 1), beganAt: x.relayer.clock.Now(),
		resumeAfter: x.lastEvent, memory: x.relayer.memory.Reserve(),
	}
	if a.resumeAfter == "" {
		a.resumeAfter = x.header.LastEvent
	}
	a.ctx, a.cancel = context.WithCancel(x.ctx)
	x.inProgress = append(x.inProgress, a)
	a.watch(send.FirstByteTimeout)
	a.watchBeginning(send.BeginBy)
	go a.run()
}

// end ends an attempt. It is read no longer.
func (x *exchange) end(a *attempt) {
	x.inProgress = slices.DeleteFunc(x.inProgress, func(other *attempt) bool { return other == a })
	a.silence.stop()
	a.stopWatchingBeginning()
	a.cancel()
}

// closeAttempts closes the attempts that are still in progress, since the request is over.
func (x *exchange) closeAttempts() {
	for len(x.inProgress) > 0 {
		x.end(x.inProgress[0])
	}
	close(x.done)
	x.hold(nil)
}

// hold keeps the memory of an attempt whose whole response may be sent to the caller, instead of
// that of an earlier one.
func (x *exchange) hold(a *attempt) {
	if x.held != nil {
		x.held.memory.Close()
	}
	x.held = a
}

// handle handles a message of an attempt. It returns Await if the request goes on with the
// attempts in progress, and NoEffect if it is over.
func (x *exchange) handle(m message) balancer.Effect {
	a := m.attempt
	if !slices.Contains(x.inProgress, a) {
		if _, ok := m.content.(received); ok {
			a.memory.Close()
		}
		return balancer.Await{}
	}
	switch content := m.content.(type) {
	case connected:
		return x.handleConnected(a)
	case silent:
		return x.handleSilent(a)
	case unbegun:
		return x.handleUnbegun(a)
	case streamed:
		return x.handleStreamed(a, content)
	case finished:
		x.end(a)
		x.endStream(a, content.response)
		return balancer.NoEffect{}
	case received:
		x.end(a)
		x.hold(a)
		return x.handleReceived(a, content)
	case failed:
		x.end(a)
		return x.reportBreak(a, content.cause)
	}
	return balancer.Await{}
}

// handleConnected has the request sent, unless its upstream may not get it any more.
func (x *exchange) handleConnected(a *attempt) balancer.Effect {
	x.updateHomes()
	effect := x.relayer.reduce(balancer.AttemptConnected{Request: x.request.ID, Attempt: a.send.Attempt})
	if effect != (balancer.NoEffect{}) {
		x.end(a)
		return effect
	}
	a.proceed <- struct{}{}
	return balancer.Await{}
}

// choose closes the other attempts, since the caller gets the response of this one.
func (x *exchange) choose(a *attempt) {
	if len(x.inProgress) == 1 && !a.silence.reported {
		return
	}
	if a.silence.reported {
		x.log("The silent upstream goes on.", zap.String("upstream", string(a.send.Target.Upstream)))
	}
	x.relayer.reduce(balancer.AttemptChosen{Request: x.request.ID, Attempt: a.send.Attempt})
	a.silence.reported = false
	x.endOthers(a)
}

// endOthers ends all attempts in progress but one.
func (x *exchange) endOthers(a *attempt) {
	for _, other := range slices.Clone(x.inProgress) {
		if other != a {
			x.end(other)
		}
	}
}

// handleReceived sends a whole response to the caller. An error is kept until no other attempt
// can answer the request.
func (x *exchange) handleReceived(a *attempt, m received) balancer.Effect {
	if x.responseStarted {
		return x.reportBreak(a, balancer.ConnectionLost) // a stream can't continue with another response
	}
	status := m.response.StatusCode
	x.relayer.reduce(balancer.ResponseStarted{Request: x.request.ID, Attempt: a.send.Attempt, Status: status, Load: a.load})
	x.recordFirstByte(a)
	x.updateHomes()
	effect := x.relayer.reduce(balancer.ResponseCompleted{
		Request:  x.request.ID,
		Attempt:  a.send.Attempt,
		Load:     a.load,
		IsError:  status >= http.StatusInternalServerError || meansNotExecuted(status),
		Unframed: !dialer.IsFramed(m.response),
	})
	switch effect.(type) {
	case balancer.Send:
		x.log("The upstream answered with an error. Retrying the request.", zap.Int("status", status), zap.String("upstream", string(a.send.Target.Upstream)))
	case balancer.Await:
		x.log("The upstream answered with an error. Waiting for another one.", zap.Int("status", status), zap.String("upstream", string(a.send.Target.Upstream)))
	default:
		x.endOthers(a)
		x.reply(a, m)
		return balancer.NoEffect{}
	}
	x.lastError = func() { x.reply(a, m) }
	return effect
}

// reply sends a whole response of an upstream to the caller.
func (x *exchange) reply(a *attempt, m received) {
	status := m.response.StatusCode
	if meansNotExecuted(status) {
		// The upstream ran the request, but the status would tell the caller that it
		// did not.
		x.lastError = nil
		x.fail(balancer.Fail{Request: x.request.ID, Reason: balancer.MayHaveRun})
		return
	}
	x.copyHeader(m.response)
	x.w.Header().Set("Content-Length", strconv.FormatInt(m.body.Len(), 10))
	x.w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = m.body.WriteTo(x.w)
	x.recordServed(a, status)
}

// reportBreak reports the failed attempt to the reducer and returns the next effect.
// If the caller has disconnected, it reports that instead.
func (x *exchange) reportBreak(a *attempt, cause balancer.Cause) balancer.Effect {
	if x.r.Context().Err() != nil {
		return x.reportCallerGone(a)
	}
	if x.ctx.Err() != nil && cause != balancer.NotConnected && cause != balancer.NotExecuted {
		cause = balancer.Expired
	}
	x.relayer.meters.countBreak(cause)
	x.log("Attempt broke.", x.fingerprintField(), x.partsField(), zap.String("cause", string(cause)), zap.String("upstream", string(a.send.Target.Upstream)),
		zap.Int("load", a.send.Load), zap.Duration("loadAge", a.send.LoadAge), zap.Duration("forecast", a.send.Forecast),
		zap.Bool("passed", x.responseStarted), zap.Duration("rest", a.answer.Rest), zap.Bool("leaving", a.answer.Leaving),
		zap.Int64("buffered", int64(a.memory.Held())))
	x.updateHomes()
	return x.relayer.reduce(balancer.AttemptFailed{
		Request:    x.request.ID,
		Attempt:    a.send.Attempt,
		Cause:      cause,
		Load:       a.load,
		PartlySent: x.responseStarted,
		Resumable:  x.mayResume(),
	})
}

// reportCallerGone tells the reducer that the caller has disconnected.
func (x *exchange) reportCallerGone(a *attempt) balancer.Effect {
	x.log("Caller left.", zap.String("upstream", string(a.send.Target.Upstream)))
	return x.relayer.reduce(balancer.CallerGone{Request: x.request.ID})
}

// mayResume reports whether another upstream can go on with the response.
func (x *exchange) mayResume() bool {
	return x.route.Resumable && x.ctx.Err() == nil
}
