package forwarder

import (
	"errors"
	"fmt"

	"celeryvalve/asserter"
	"celeryvalve/dialer"
	"celeryvalve/identifier"
	"celeryvalve/router"
)

// bodyChunkSize is the maximum length of the data of a BodyChunk, in bytes.
const bodyChunkSize = 64 << 10

var errAttemptEnded = errors.New("the attempt ended")

// startAttempt sends the request to the agent in the background. The caller must
// hold f.mu.
func (f *Forwarder) startAttempt(e router.StartAttempt) {
	f.counters.attempts.Inc()
	ex := f.exchanges[e.Request]
	l := newLink(f.ctx, e.Attempt, e.Request)
	ex.replaceLink(l)
	f.inBackground(func() {
		defer close(l.finished)
		defer l.cancel()
		f.runAttempt(ex, l, e)
	})
}

// runAttempt sends the request to the agent and receives the response.
func (f *Forwarder) runAttempt(ex *exchange, l *link, e router.StartAttempt) {
	s, err := f.open(l.ctx, e.Target.Address, newAttemptStart(ex, e))
	if err != nil {
		f.reportBreak(ex, l, router.NotHandedOver)
		return
	}
	defer cancelOnDone(l.ctx, s)()
	if err := f.sendBody(ex, l, s); err != nil {
		f.reportBreak(ex, l, router.NotHandedOver)
		return
	}
	// The agent may start the attempt as soon as it has received BodyEnd.
	l.handedOver = true
	if s.Send(&router.BodyEnd{Attempt: e.Attempt, Length: identifier.ByteCount(len(ex.body))}) != nil {
		f.reportBreak(ex, l, router.LinkLost)
		return
	}
	f.receiveResponse(ex, l, s)
}

func newAttemptStart(ex *exchange, e router.StartAttempt) *router.AttemptStart {
	return &router.AttemptStart{
		Request:      ex.id,
		Attempt:      e.Attempt,
		Upstream:     e.Target.Upstream,
		Incarnation:  e.Target.Incarnation,
		Organisation: ex.arrived.Organisation,
		Service:      ex.arrived.Service,
		Method:       ex.method,
		Path:         ex.path,
		Header:       ex.header,
		Class:        ex.arrived.Class,
		Key:          ex.arrived.Key,
		Token:        e.Token,
		Timeout:      e.Timeout,
		Fingerprint:  ex.arrived.Fingerprint,
		Priority:     e.Priority,
		Weight:       e.Weight,
		Alone:        e.Alone,
		BodyLength:   identifier.ByteCount(len(ex.body)),
		BodyDigest:   ex.digest,
	}
}

// sendBody sends the body. Each part that the stream takes counts as progress, since the agent
// sends nothing before it has received all of them.
func (f *Forwarder) sendBody(ex *exchange, l *link, s Stream) error {
	for offset := 0; offset < len(ex.body); offset += bodyChunkSize {
		data := ex.body[offset:min(offset+bodyChunkSize, len(ex.body))]
		chunk := &router.BodyChunk{Attempt: l.attempt, Offset: identifier.ByteCount(offset), Data: data}
		if err := s.Send(chunk); err != nil {
			return err
		}
		f.post(router.AttemptProgressed{Request: ex.id, Attempt: l.attempt})
	}
	return nil
}

// askAttempt continues the attempt on a new stream in the background. It waits for
// the previous stream to finish and resumes the response where that one stopped. An
// attempt that was not handed over on it can't run any more, and is not asked about.
// The caller must hold f.mu.
func (f *Forwarder) askAttempt(e router.AskAttempt) {
	f.counters.asks.Inc()
	ex := f.exchanges[e.Request]
	l := newLink(f.ctx, e.Attempt, e.Holder)
	l.handedOver = true
	previous := ex.replaceLink(l)
	f.inBackground(func() {
		defer close(l.finished)
		defer l.cancel()
		if previous != nil {
			<-previous.finished
			if previous.attempt == l.attempt {
				l.progress, l.handedOver = previous.progress, previous.handedOver
			}
		}
		if !l.handedOver {
			f.reportBreak(ex, l, router.NotHandedOver)
			return
		}
		f.ask(ex, l, e)
	})
}

// ask asks the agent to continue the attempt from the current offset and receives
// the rest of the response.
func (f *Forwarder) ask(ex *exchange, l *link, e router.AskAttempt) {
	if e.Fresh {
		f.replaceConnection(e.Target.Address)
	}
	s, err := f.open(l.ctx, e.Target.Address, &router.AttemptAsk{
		Request:     e.Holder,
		Attempt:     e.Attempt,
		Upstream:    e.Target.Upstream,
		Incarnation: e.Target.Incarnation,
		Offset:      l.progress.offset,
		WantHead:    l.progress.head == nil,
	})
	if err != nil {
		f.reportBreak(ex, l, router.AskFailed)
		return
	}
	defer cancelOnDone(l.ctx, s)()
	f.receiveResponse(ex, l, s)
}

// cancelAttempt cancels the attempt's link. If Stop is set, it tells the agent on a
// separate stream, because the link may already be broken. The caller must hold f.mu.
func (f *Forwarder) cancelAttempt(e router.CancelAttempt) {
	ex := f.exchanges[e.Request]
	if ex.link != nil && ex.link.attempt == e.Attempt {
		ex.link.cancel()
	}
	if !e.Stop {
		return
	}
	f.inBackground(func() { f.sendCancel(e) })
}

// sendCancel tells the agent to cancel the attempt. Errors are ignored.
func (f *Forwarder) sendCancel(e router.CancelAttempt) {
	ctx, cancel := f.withTimeout(cancelTimeout)
	defer cancel()
	s, err := f.open(ctx, e.Target.Address, &router.AttemptCancel{
		Request:     e.Request,
		Attempt:     e.Attempt,
		Upstream:    e.Target.Upstream,
		Incarnation: e.Target.Incarnation,
	})
	if err != nil {
		return
	}
	defer s.Cancel()
	_, _ = s.Receive(ctx)
}

// reportBreak tells the reducer how the attempt broke, unless the link was cancelled.
func (f *Forwarder) reportBreak(ex *exchange, l *link, kind router.BreakKind) {
	if l.ctx.Err() != nil {
		return
	}
	f.post(router.AttemptBroke{Request: ex.id, Attempt: l.attempt, Kind: kind})
}

// receiveResponse receives the agent's messages until the attempt ends.
func (f *Forwarder) receiveResponse(ex *exchange, l *link, s Stream) {
	for {
		msg, err := s.Receive(l.ctx)
		if err != nil {
			f.reportBreak(ex, l, router.LinkLost)
			return
		}
		if err := f.handleMessage(ex, l, msg); err != nil {
			return
		}
	}
}

// handleMessage handles one message from the agent. An error means that the attempt
// has ended and no further message is read.
func (f *Forwarder) handleMessage(ex *exchange, l *link, msg any) error {
	if request, attempt := messageIDs(msg); request != l.holder || attempt != l.attempt {
		f.reportBreak(ex, l, router.Damaged)
		return errAttemptEnded
	}
	switch m := msg.(type) {
	case *router.AttemptAccepted:
		f.post(router.AttemptWasAccepted{Request: ex.id, Attempt: l.attempt, Load: m.Load})
	case *router.AttemptAlive:
		f.post(router.AttemptProgressed{Request: ex.id, Attempt: l.attempt, Load: &m.Load})
	case *router.AttemptRefused:
		f.post(router.AttemptWasRefused{Request: ex.id, Attempt: l.attempt, Reason: m.Reason, RetryAfter: m.RetryAfter, Load: m.Load})
		return errAttemptEnded
	case *router.AttemptGone:
		f.post(router.AttemptBroke{Request: ex.id, Attempt: l.attempt, Kind: router.Gone, Reason: m.Reason})
		return errAttemptEnded
	case *router.ResponseHead:
		return f.handleHead(ex, l, m)
	case *router.ResponseData:
		return f.handleData(ex, l, m)
	case *router.ResponseEnd:
		return f.handleEnd(ex, l, m)
	}
	return nil
}

// messageIDs returns the ids of the message's request and attempt. Both are empty for
// a message that agents do not send.
func messageIDs(msg any) (identifier.RequestID, identifier.AttemptID) {
	switch m := msg.(type) {
	case *router.AttemptAccepted:
		return m.Request, m.Attempt
	case *router.AttemptAlive:
		return m.Request, m.Attempt
	case *router.AttemptRefused:
		return m.Request, m.Attempt
	case *router.AttemptGone:
		return m.Request, m.Attempt
	case *router.ResponseHead:
		return m.Request, m.Attempt
	case *router.ResponseData:
		return m.Request, m.Attempt
	case *router.ResponseEnd:
		return m.Request, m.Attempt
	}
	return "", ""
}

// handleHead passes on the response head, unless an earlier stream of the attempt has
// already done so. Only the attempt that the reducer selected may respond.
func (f *Forwarder) handleHead(ex *exchange, l *link, m *router.ResponseHead) error {
	if l.progress.head != nil {
		return nil
	}
	if dialer.CheckFinal(m.Status) != nil {
		f.reportBreak(ex, l, router.Damaged)
		return errAttemptEnded
	}
	f.post(router.AttemptAnswering{Request: ex.id, Attempt: l.attempt, Status: m.Status})
	if !ex.isSelected(l.attempt) {
		return errAttemptEnded
	}
	if err := f.deliver(ex, l, responsePart{head: m}); err != nil {
		return err
	}
	l.progress.head = m
	return nil
}

// handleData passes on a part of the body that continues at the expected offset.
func (f *Forwarder) handleData(ex *exchange, l *link, m *router.ResponseData) error {
	if l.progress.head == nil || m.Offset != l.progress.offset {
		f.reportBreak(ex, l, router.Damaged)
		return errAttemptEnded
	}
	if err := f.deliver(ex, l, responsePart{data: m.Data}); err != nil {
		return err
	}
	l.progress.add(m.Data)
	f.post(router.AttemptProgressed{Request: ex.id, Attempt: l.attempt})
	return nil
}

// handleEnd checks that the response is complete and reports the end of the attempt.
func (f *Forwarder) handleEnd(ex *exchange, l *link, m *router.ResponseEnd) error {
	if !l.progress.isComplete(m, ex.method) {
		f.reportBreak(ex, l, router.Damaged)
		return errAttemptEnded
	}
	if !f.check.Check(asserter.WholeAnswer, ex.isSelected(l.attempt), fmt.Sprintf("request %s got the response of an attempt that was not selected", ex.id)) {
		f.reportBreak(ex, l, router.Damaged)
		return errAttemptEnded
	}
	if err := f.deliver(ex, l, responsePart{trailer: m.Trailer}); err != nil {
		return err
	}
	f.post(router.AttemptEnded{
		Request: ex.id,
		Attempt: l.attempt,
		Status:  l.progress.head.Status,
		Load:    m.Load,
		Cache:   m.Cache,
	})
	return errAttemptEnded
}

// deliver hands the part to the goroutine that serves the caller. While a slow caller
// blocks it, it reports progress, so that the attempt's link counts as alive.
func (f *Forwarder) deliver(ex *exchange, l *link, p responsePart) error {
	select {
	case ex.parts <- p:
		return nil
	case <-l.ctx.Done():
		return errAttemptEnded
	default:
	}
	ticker := f.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case ex.parts <- p:
			return nil
		case <-l.ctx.Done():
			return errAttemptEnded
		case <-ticker.Chan():
			f.post(router.AttemptProgressed{Request: ex.id, Attempt: l.attempt})
		}
	}
}
