package executor

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"celeryvalve/admitter"
	"celeryvalve/certifier"
	"celeryvalve/connector"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/router"
)

// Stream is an exchange of messages with an entry.
type Stream interface {
	Send(msg any) error
	Receive(ctx context.Context) (any, error)
	Cancel()
}

// Register serves the attempt protocol on the endpoint, for entries only.
func (x *Executor) Register(e *connector.Endpoint) {
	handler := func(ctx context.Context, s *connector.Stream, first any) {
		if !s.Peer().Has(certifier.Entry) {
			s.Cancel()
			return
		}
		x.Serve(ctx, s, first)
	}
	e.Handle("AttemptStart", handler)
	e.Handle("AttemptAsk", handler)
	e.Handle("AttemptCancel", handler)
}

// Serve handles one stream until its answer is sent or the entry is gone.
func (x *Executor) Serve(ctx context.Context, s Stream, first any) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(x.ctx, cancel)
	defer stop()
	o := x.openOutlet()
	defer x.closeOutlet(o)
	switch m := first.(type) {
	case *router.AttemptStart:
		o.attempt = m.Attempt
		if !x.takeStart(ctx, s, o, m) {
			return
		}
	case *router.AttemptAsk:
		o.attempt = m.Attempt
		x.post(admitter.AttemptAsked{Ask: *m, Stream: o.id})
	case *router.AttemptCancel:
		o.attempt = m.Attempt
		x.post(admitter.AttemptCancelled{Cancel: *m, Stream: o.id})
	default:
		return
	}
	go x.listen(ctx, cancel, s, o)
	x.speak(ctx, s, o)
}

func (x *Executor) openOutlet() *outlet {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.nextStream++
	o := &outlet{id: x.nextStream, signal: make(chan struct{}, 1)}
	x.outlets[o.id] = o
	return o
}

func (x *Executor) closeOutlet(o *outlet) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.outlets, o.id)
	x.reduce(admitter.StreamLost{Attempt: o.attempt, Stream: o.id})
}

// takeStart reads the body. A damaged one is refused for good.
func (x *Executor) takeStart(ctx context.Context, s Stream, o *outlet, start *router.AttemptStart) bool {
	body, err := x.readBody(ctx, s, start)
	if explainer.KindOf(err) == explainer.Corrupt {
		cancel := router.AttemptCancel{
			Request:     start.Request,
			Attempt:     start.Attempt,
			Upstream:    start.Upstream,
			Incarnation: start.Incarnation,
		}
		x.post(admitter.AttemptCancelled{Cancel: cancel, Stream: o.id})
		return true
	}
	if err != nil {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.runs[start.Attempt] == nil {
		x.runs[start.Attempt] = newRun(x.ctx, *start, body)
	}
	x.reduce(admitter.AttemptArrived{Start: *start, Stream: o.id})
	return true
}

// readBody returns the whole body, or an error of kind Corrupt where it differs
// from what the start said.
func (x *Executor) readBody(ctx context.Context, s Stream, start *router.AttemptStart) ([]byte, error) {
	if start.BodyLength < 0 || start.BodyLength > x.cfg.MaxBody {
		return nil, damaged("the body is longer than the upstream takes")
	}
	var body bytes.Buffer
	for {
		msg, err := s.Receive(ctx)
		if err != nil {
			return nil, explainer.Wrap(err, explainer.Unavailable, "the body broke off", "the entry sends it again")
		}
		switch m := msg.(type) {
		case *router.BodyChunk:
			if m.Attempt != start.Attempt || m.Offset != identifier.ByteCount(body.Len()) {
				return nil, damaged("a part of the body is out of place")
			}
			if m.Offset+identifier.ByteCount(len(m.Data)) > start.BodyLength {
				return nil, damaged("the body is longer than declared")
			}
			body.Write(m.Data)
		case *router.BodyEnd:
			return checkBody(body.Bytes(), start, m)
		default:
			return nil, damaged(fmt.Sprintf("a %T stands in the body", msg))
		}
	}
}

func checkBody(body []byte, start *router.AttemptStart, end *router.BodyEnd) ([]byte, error) {
	n := identifier.ByteCount(len(body))
	if end.Attempt != start.Attempt || end.Length != n || start.BodyLength != n {
		return nil, damaged("the body's length is not as declared")
	}
	if identifier.DigestOf(body) != start.BodyDigest {
		return nil, damaged("the body's digest is not as declared")
	}
	return body, nil
}

func damaged(problem string) error {
	return explainer.New(explainer.Corrupt, problem, "send the attempt again under a new id")
}

// listen waits for a cancel, or for the end of the stream.
func (x *Executor) listen(ctx context.Context, cancel context.CancelFunc, s Stream, o *outlet) {
	defer cancel()
	for {
		msg, err := s.Receive(ctx)
		if err != nil {
			return
		}
		if m, ok := msg.(*router.AttemptCancel); ok && m.Attempt == o.attempt {
			x.post(admitter.AttemptCancelled{Cancel: *m, Stream: o.id})
		}
	}
}

// command is a message to send, or an answer to feed.
type command struct {
	message any
	feed    *feed
}

// outlet queues what the reducer wants to send on one stream.
type outlet struct {
	id      admitter.StreamID
	attempt identifier.AttemptID
	signal  chan struct{}

	mu       sync.Mutex
	commands []command
}

func (o *outlet) push(c command) {
	o.mu.Lock()
	o.commands = append(o.commands, c)
	o.mu.Unlock()
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

func (o *outlet) pop() (command, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.commands) == 0 {
		return command{}, false
	}
	c := o.commands[0]
	o.commands = o.commands[1:]
	return c, true
}

// speak sends what the reducer orders, then the answer, and signs of life between.
func (x *Executor) speak(ctx context.Context, s Stream, o *outlet) {
	alive := x.clock.NewTicker(aliveInterval)
	defer alive.Stop()
	var f *feed
	defer func() {
		if f != nil {
			f.run.part()
		}
	}()
	for ctx.Err() == nil {
		if c, ok := o.pop(); ok {
			if c.feed != nil {
				if f != nil {
					f.run.part()
				}
				f = c.feed
				f.run.join()
				continue
			}
			if s.Send(c.message) != nil || ends(c.message) {
				return
			}
			continue
		}
		msg, changed := f.nextOrNone()
		if msg == nil {
			if !x.await(ctx, s, o, changed, alive.Chan()) {
				return
			}
			continue
		}
		if !x.sendPart(s, o, f, msg) {
			return
		}
	}
}

// await returns when there may be something to send. It reports false when the
// stream broke.
func (x *Executor) await(ctx context.Context, s Stream, o *outlet, changed <-chan struct{}, alive <-chan time.Time) bool {
	select {
	case <-o.signal:
	case <-changed:
	case <-alive:
		return s.Send(&router.AttemptAlive{Request: x.requestOf(o.attempt), Attempt: o.attempt, Load: x.Load()}) == nil
	case <-ctx.Done():
	}
	return true
}

// sendPart sends a part of the answer and reports whether there is more to come.
func (x *Executor) sendPart(s Stream, o *outlet, f *feed, msg any) bool {
	if end, ok := msg.(*router.ResponseEnd); ok {
		whole := *end
		whole.Load = x.Load()
		whole.Cache = x.cache.report()
		msg = &whole
	}
	if s.Send(msg) != nil {
		return false
	}
	switch m := msg.(type) {
	case *router.ResponseData:
		f.sent(m)
	case *router.ResponseEnd:
		x.post(admitter.AttemptDelivered{Attempt: o.attempt, Stream: o.id})
		return false
	case *router.AttemptGone:
		return false
	}
	return true
}

func (x *Executor) requestOf(id identifier.AttemptID) identifier.RequestID {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r := x.runs[id]; r != nil {
		return r.start.Request
	}
	return ""
}

func (f *feed) nextOrNone() (any, <-chan struct{}) {
	if f == nil {
		return nil, nil
	}
	return f.next()
}

// ends reports whether nothing follows the message on its stream.
func ends(msg any) bool {
	switch msg.(type) {
	case *router.AttemptRefused, *router.AttemptGone:
		return true
	}
	return false
}
