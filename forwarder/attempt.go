package forwarder

import (
	"errors"
	"fmt"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/router"
)

const bodyChunkSize = 64 << 10

var errEnded = errors.New("the attempt ended")

// startAttempt hands the request over in the background. mu is held.
func (f *Forwarder) startAttempt(e router.StartAttempt) {
	f.count.attempts.Inc()
	ex := f.exchanges[e.Request]
	l := newLink(f.ctx, e.Attempt, e.Request)
	ex.swap(l)
	f.inBackground(func() {
		defer close(l.finished)
		defer l.cancel()
		f.handOver(ex, l, e)
	})
}

// handOver sends the request and takes over its answer.
func (f *Forwarder) handOver(ex *exchange, l *link, e router.StartAttempt) {
	s, err := f.open(l.ctx, e.Target.Address, startOf(ex, e))
	if err != nil {
		f.broke(ex, l, router.NotHandedOver)
		return
	}
	defer cancelWith(l.ctx, s)()
	if err := sendBody(s, e.Attempt, ex.body); err != nil {
		f.broke(ex, l, router.NotHandedOver)
		return
	}
	// From here on the agent may start the attempt.
	if s.Send(&router.BodyEnd{Attempt: e.Attempt, Length: identifier.ByteCount(len(ex.body))}) != nil {
		f.broke(ex, l, router.LinkLost)
		return
	}
	f.takeAnswer(ex, l, s)
}

func startOf(ex *exchange, e router.StartAttempt) *router.AttemptStart {
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

func sendBody(s Stream, attempt identifier.AttemptID, body []byte) error {
	for offset := 0; offset < len(body); offset += bodyChunkSize {
		data := body[offset:min(offset+bodyChunkSize, len(body))]
		chunk := &router.BodyChunk{Attempt: attempt, Offset: identifier.ByteCount(offset), Data: data}
		if err := s.Send(chunk); err != nil {
			return err
		}
	}
	return nil
}

// askAttempt continues the attempt on a new stream in the background. mu is held.
func (f *Forwarder) askAttempt(e router.AskAttempt) {
	f.count.asks.Inc()
	ex := f.exchanges[e.Request]
	l := newLink(f.ctx, e.Attempt, e.Holder)
	previous := ex.swap(l)
	f.inBackground(func() {
		defer close(l.finished)
		defer l.cancel()
		if previous != nil {
			<-previous.finished
			if previous.attempt == l.attempt {
				l.place = previous.place
			}
		}
		f.ask(ex, l, e)
	})
}

func (f *Forwarder) ask(ex *exchange, l *link, e router.AskAttempt) {
	if e.Fresh {
		f.replace(e.Target.Address)
	}
	s, err := f.open(l.ctx, e.Target.Address, &router.AttemptAsk{
		Request:     e.Holder,
		Attempt:     e.Attempt,
		Upstream:    e.Target.Upstream,
		Incarnation: e.Target.Incarnation,
		Offset:      l.place.offset,
		WantHead:    l.place.head == nil,
	})
	if err != nil {
		f.broke(ex, l, router.AskFailed)
		return
	}
	defer cancelWith(l.ctx, s)()
	f.takeAnswer(ex, l, s)
}

// cancelAttempt drops the link. Where the agent must know, it is told on a
// stream of its own, which is delivered whatever became of the link. mu is held.
func (f *Forwarder) cancelAttempt(e router.CancelAttempt) {
	ex := f.exchanges[e.Request]
	if ex.link != nil && ex.link.attempt == e.Attempt {
		ex.link.cancel()
	}
	if !e.Stop {
		return
	}
	f.inBackground(func() { f.tellCancel(e) })
}

func (f *Forwarder) tellCancel(e router.CancelAttempt) {
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

func (f *Forwarder) broke(ex *exchange, l *link, kind router.BreakKind) {
	if l.ctx.Err() != nil {
		return
	}
	f.post(router.AttemptBroke{Request: ex.id, Attempt: l.attempt, Kind: kind})
}

// takeAnswer reads the agent's messages until the attempt ends.
func (f *Forwarder) takeAnswer(ex *exchange, l *link, s Stream) {
	for {
		msg, err := s.Receive(l.ctx)
		if err != nil {
			f.broke(ex, l, router.LinkLost)
			return
		}
		if err := f.take(ex, l, msg); err != nil {
			return
		}
	}
}

// take handles one message. An error says that none is expected after it.
func (f *Forwarder) take(ex *exchange, l *link, msg any) error {
	if request, attempt := partiesOf(msg); request != l.holder || attempt != l.attempt {
		f.broke(ex, l, router.Damaged)
		return errEnded
	}
	switch m := msg.(type) {
	case *router.AttemptAccepted:
		f.post(router.AttemptWasAccepted{Request: ex.id, Attempt: l.attempt, Load: m.Load})
	case *router.AttemptAlive:
		f.post(router.AttemptProgressed{Request: ex.id, Attempt: l.attempt, Load: &m.Load})
	case *router.AttemptRefused:
		f.post(router.AttemptWasRefused{Request: ex.id, Attempt: l.attempt, Reason: m.Reason, RetryAfter: m.RetryAfter, Load: m.Load})
		return errEnded
	case *router.AttemptGone:
		f.post(router.AttemptBroke{Request: ex.id, Attempt: l.attempt, Kind: router.Gone, Reason: m.Reason})
		return errEnded
	case *router.ResponseHead:
		return f.takeHead(ex, l, m)
	case *router.ResponseData:
		return f.takeData(ex, l, m)
	case *router.ResponseEnd:
		return f.takeEnd(ex, l, m)
	}
	return nil
}

// partiesOf returns the request and attempt that the message belongs to.
func partiesOf(msg any) (identifier.RequestID, identifier.AttemptID) {
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

func (f *Forwarder) takeHead(ex *exchange, l *link, m *router.ResponseHead) error {
	if l.place.head != nil {
		return nil
	}
	f.post(router.AttemptAnswering{Request: ex.id, Attempt: l.attempt, Status: m.Status})
	if !ex.passes(l.attempt) {
		return errEnded
	}
	if err := f.deliver(ex, l, piece{head: m}); err != nil {
		return err
	}
	l.place.head = m
	return nil
}

func (f *Forwarder) takeData(ex *exchange, l *link, m *router.ResponseData) error {
	if l.place.head == nil || m.Offset != l.place.offset {
		f.broke(ex, l, router.Damaged)
		return errEnded
	}
	if err := f.deliver(ex, l, piece{data: m.Data}); err != nil {
		return err
	}
	l.place.take(m.Data)
	f.post(router.AttemptProgressed{Request: ex.id, Attempt: l.attempt})
	return nil
}

func (f *Forwarder) takeEnd(ex *exchange, l *link, m *router.ResponseEnd) error {
	if !l.place.whole(m, ex.method) {
		f.broke(ex, l, router.Damaged)
		return errEnded
	}
	if !f.check.Check(asserter.WholeAnswer, ex.passes(l.attempt), fmt.Sprintf("request %s got a crossed answer", ex.id)) {
		f.broke(ex, l, router.Damaged)
		return errEnded
	}
	if err := f.deliver(ex, l, piece{trailer: m.Trailer}); err != nil {
		return err
	}
	f.post(router.AttemptEnded{
		Request: ex.id,
		Attempt: l.attempt,
		Status:  l.place.head.Status,
		Load:    m.Load,
		Cache:   m.Cache,
	})
	return errEnded
}

// deliver hands the piece to the handler. While a slow caller holds it up, the
// attempt's link counts as alive.
func (f *Forwarder) deliver(ex *exchange, l *link, p piece) error {
	select {
	case ex.pieces <- p:
		return nil
	case <-l.ctx.Done():
		return errEnded
	default:
	}
	ticker := f.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case ex.pieces <- p:
			return nil
		case <-l.ctx.Done():
			return errEnded
		case <-ticker.Chan():
			f.post(router.AttemptProgressed{Request: ex.id, Attempt: l.attempt})
		}
	}
}
