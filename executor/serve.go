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

// Stream is a bidirectional stream of messages with an entry.
type Stream interface {
	Send(msg any) error
	Receive(ctx context.Context) (any, error)
	Cancel()
}

// Register registers handlers for the attempt protocol with the endpoint. Streams from
// peers without the role Entry are cancelled.
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

// Serve handles one stream until its response is sent or the stream ends. The message
// that opened the stream is first.
func (x *Executor) Serve(ctx context.Context, s Stream, first any) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(x.ctx, cancel)
	defer stop()
	q := x.openSendQueue()
	defer x.closeSendQueue(q)
	switch m := first.(type) {
	case *router.AttemptStart:
		q.attempt = m.Attempt
		if !x.receiveStart(ctx, s, q, m) {
			return
		}
	case *router.AttemptAsk:
		q.attempt = m.Attempt
		x.post(admitter.AttemptAsked{Ask: *m, Stream: q.id})
	case *router.AttemptCancel:
		q.attempt = m.Attempt
		x.post(admitter.AttemptCancelled{Cancel: *m, Stream: q.id})
	default:
		return
	}
	go x.receiveLoop(ctx, cancel, s, q)
	x.sendLoop(ctx, s, q)
}

func (x *Executor) openSendQueue() *sendQueue {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.nextStream++
	q := &sendQueue{id: x.nextStream, signal: make(chan struct{}, 1)}
	x.sendQueues[q.id] = q
	return q
}

func (x *Executor) closeSendQueue(q *sendQueue) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.sendQueues, q.id)
	x.reduce(admitter.StreamLost{Attempt: q.attempt, Stream: q.id})
}

// receiveStart receives the body and passes the attempt to the reducer. An attempt
// with a corrupt body is cancelled: unless it has started already, it is refused now
// and whenever it arrives again. receiveStart returns false if the stream ended before
// the whole body was received.
func (x *Executor) receiveStart(ctx context.Context, s Stream, q *sendQueue, start *router.AttemptStart) bool {
	body, err := x.readBody(ctx, s, start)
	if explainer.KindOf(err) == explainer.Corrupt {
		cancel := router.AttemptCancel{
			Request:     start.Request,
			Attempt:     start.Attempt,
			Upstream:    start.Upstream,
			Incarnation: start.Incarnation,
		}
		x.post(admitter.AttemptCancelled{Cancel: cancel, Stream: q.id})
		return true
	}
	if err != nil {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.runs[start.Attempt] == nil {
		x.runs[start.Attempt] = newRun(x.ctx, *start, body, x.clock.Now())
	}
	x.reduce(admitter.AttemptArrived{Start: *start, Stream: q.id})
	return true
}

// readBody returns the whole body. It returns an error of kind Corrupt if the body
// differs from the length and digest that the start message declares.
func (x *Executor) readBody(ctx context.Context, s Stream, start *router.AttemptStart) ([]byte, error) {
	if start.BodyLength < 0 || start.BodyLength > x.cfg.MaxBody {
		return nil, corruptBody("the body is longer than the maximum that this agent accepts")
	}
	var body bytes.Buffer
	for {
		msg, err := s.Receive(ctx)
		if err != nil {
			return nil, explainer.Wrap(err, explainer.Unavailable, "the stream ended before the whole body was received", "no action is needed: the entry sends the attempt again")
		}
		switch m := msg.(type) {
		case *router.BodyChunk:
			if m.Attempt != start.Attempt || m.Offset != identifier.ByteCount(body.Len()) {
				return nil, corruptBody("a part of the body is out of place")
			}
			if m.Offset+identifier.ByteCount(len(m.Data)) > start.BodyLength {
				return nil, corruptBody("the body is longer than declared")
			}
			body.Write(m.Data)
		case *router.BodyEnd:
			return checkBody(body.Bytes(), start, m)
		default:
			return nil, corruptBody(fmt.Sprintf("a %T message arrived before the end of the body", msg))
		}
	}
}

func checkBody(body []byte, start *router.AttemptStart, end *router.BodyEnd) ([]byte, error) {
	n := identifier.ByteCount(len(body))
	if end.Attempt != start.Attempt || end.Length != n || start.BodyLength != n {
		return nil, corruptBody("the length of the body differs from the declared length")
	}
	if identifier.DigestOf(body) != start.BodyDigest {
		return nil, corruptBody("the digest of the body differs from the declared digest")
	}
	return body, nil
}

func corruptBody(problem string) error {
	return explainer.New(explainer.Corrupt, problem, "send the attempt again under a new id")
}

// receiveLoop handles cancellations of the attempt until the stream ends.
func (x *Executor) receiveLoop(ctx context.Context, cancel context.CancelFunc, s Stream, q *sendQueue) {
	defer cancel()
	for {
		msg, err := s.Receive(ctx)
		if err != nil {
			return
		}
		if m, ok := msg.(*router.AttemptCancel); ok && m.Attempt == q.attempt {
			x.post(admitter.AttemptCancelled{Cancel: *m, Stream: q.id})
		}
	}
}

// command is either a message to send or a response to send from the cursor on.
type command struct {
	message any
	cursor  *cursor
}

// sendQueue holds the commands of the reducer for one stream in order. It is
// unbounded, so that a push never blocks the reducer.
type sendQueue struct {
	id      admitter.StreamID
	attempt identifier.AttemptID
	signal  chan struct{}

	mu       sync.Mutex
	commands []command
}

func (q *sendQueue) push(c command) {
	q.mu.Lock()
	q.commands = append(q.commands, c)
	q.mu.Unlock()
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

func (q *sendQueue) pop() (command, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.commands) == 0 {
		return command{}, false
	}
	c := q.commands[0]
	q.commands = q.commands[1:]
	return c, true
}

// sendLoop sends the messages of the reducer and the response. While there is nothing
// else to send, it sends heartbeats.
func (x *Executor) sendLoop(ctx context.Context, s Stream, q *sendQueue) {
	heartbeat := x.clock.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	var c *cursor
	defer func() {
		if c != nil {
			c.run.removeReader()
		}
	}()
	for ctx.Err() == nil {
		if cmd, ok := q.pop(); ok {
			if cmd.cursor != nil {
				if c != nil {
					c.run.removeReader()
				}
				c = cmd.cursor
				c.run.addReader()
				continue
			}
			if s.Send(cmd.message) != nil || isFinal(cmd.message) {
				return
			}
			continue
		}
		msg, changed := c.nextOrNil()
		if msg == nil {
			if !x.wait(ctx, s, q, changed, heartbeat.Chan()) {
				return
			}
			continue
		}
		if !x.sendResponse(s, q, c, msg) {
			return
		}
	}
}

// wait returns when there may be something to send, or after it has sent a heartbeat.
// It returns false if the heartbeat could not be sent.
func (x *Executor) wait(ctx context.Context, s Stream, q *sendQueue, changed <-chan struct{}, heartbeat <-chan time.Time) bool {
	select {
	case <-q.signal:
	case <-changed:
	case <-heartbeat:
		return s.Send(&router.AttemptAlive{Request: x.requestID(q.attempt), Attempt: q.attempt, Load: x.Load()}) == nil
	case <-ctx.Done():
	}
	return true
}

// sendResponse sends one message of the response and reports whether more follow.
func (x *Executor) sendResponse(s Stream, q *sendQueue, c *cursor, msg any) bool {
	if end, ok := msg.(*router.ResponseEnd); ok {
		withLoad := *end
		withLoad.Load = x.Load()
		withLoad.Cache = x.cache.report()
		msg = &withLoad
	}
	if s.Send(msg) != nil {
		return false
	}
	switch m := msg.(type) {
	case *router.ResponseData:
		c.advance(m)
	case *router.ResponseEnd:
		x.post(admitter.AttemptDelivered{Attempt: q.attempt, Stream: q.id})
		return false
	case *router.AttemptGone:
		return false
	}
	return true
}

func (x *Executor) requestID(id identifier.AttemptID) identifier.RequestID {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r := x.runs[id]; r != nil {
		return r.start.Request
	}
	return ""
}

func (c *cursor) nextOrNil() (any, <-chan struct{}) {
	if c == nil {
		return nil, nil
	}
	return c.next()
}

// isFinal reports whether the message is the last one on its stream.
func isFinal(msg any) bool {
	switch msg.(type) {
	case *router.AttemptRefused, *router.AttemptGone:
		return true
	}
	return false
}
