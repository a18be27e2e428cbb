package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"celeryvalve/balancer"
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// maxBuffered is the largest answer that is taken whole, in bytes.
const maxBuffered = 16 << 20

// attempt runs one attempt and returns the effect that follows from it.
func (x *exchange) attempt(send balancer.Send) balancer.Effect {
	x.relayer.meters.attempts.Inc()
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	var silent atomic.Bool
	var watchdog interface{ Stop() bool }
	if send.FirstByteWithin > 0 {
		watchdog = x.relayer.clock.AfterFunc(send.FirstByteWithin, func() {
			silent.Store(true)
			cancel()
		})
	}
	a := &attempt{exchange: x, send: send, ctx: ctx, cancel: cancel}
	a.heard = func() bool {
		if watchdog != nil {
			watchdog.Stop()
		}
		return !silent.Load()
	}
	effect, cause := a.run()
	if effect != nil {
		return effect
	}
	if silent.Load() && cause == balancer.Lost {
		cause = balancer.Silent
	}
	return a.broke(cause)
}

// attempt is one attempt on one upstream.
type attempt struct {
	*exchange
	send   balancer.Send
	ctx    context.Context
	cancel context.CancelFunc
	// heard stops the wait for the first byte. It reports false when it is over.
	heard func() bool
	load  *balancer.Load
}

// broke tells the reducer, unless the caller has gone.
func (a *attempt) broke(cause balancer.Cause) balancer.Effect {
	x := a.exchange
	if x.r.Context().Err() != nil {
		x.log("Caller left.", zap.String("upstream", string(a.send.Target.Upstream)))
		return x.relayer.reduce(balancer.CallerGone{Request: x.request.ID})
	}
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) && cause != balancer.NotConnected && cause != balancer.NotExecuted {
		cause = balancer.Expired
	}
	x.relayer.meters.broke(cause)
	x.log("Attempt broke.", zap.String("cause", string(cause)), zap.String("upstream", string(a.send.Target.Upstream)),
		zap.Int("load", a.send.Load), zap.Duration("loadAge", a.send.LoadAge), zap.Duration("forecast", a.send.Forecast),
		zap.Bool("passed", x.passed))
	return x.relayer.reduce(balancer.Broke{
		Request:   x.request.ID,
		Cause:     cause,
		Load:      a.load,
		Passed:    x.passed,
		Resumable: x.route.Resumable && x.ctx.Err() == nil,
	})
}

// run returns the effect of a whole answer, or how the attempt broke.
func (a *attempt) run() (balancer.Effect, balancer.Cause) {
	addr := a.send.Target.Address
	c, err := a.connect()
	if err != nil {
		return nil, balancer.NotConnected
	}
	// Ends whatever is under way on the connection when the attempt ends early.
	stop := context.AfterFunc(a.ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	keep := false
	var answerHeader http.Header
	defer func() {
		if stop() && keep && a.request.Repeatable {
			a.relayer.pool.put(addr, c, answerHeader, a.relayer.idleLimit(addr))
		} else {
			c.close()
		}
	}()
	request := a.outgoing()
	if sent, err := c.write(request); err != nil {
		if !sent {
			return nil, balancer.NotConnected
		}
		return nil, balancer.Lost
	}
	response, header, cause := a.readHead(c, request)
	if cause != "" {
		return nil, cause
	}
	answerHeader = response.Header
	a.load = header.Load
	whole := func() bool {
		framed := response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked")
		return framed && !response.Close && c.reader.Buffered() == 0
	}
	switch {
	case header.Mistaken, header.NotExecuted:
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBuffered))
		keep = err == nil && whole()
		if header.Mistaken {
			return nil, balancer.Mistaken
		}
		return nil, balancer.NotExecuted
	case isSuccess(response.StatusCode) && !header.Signed:
		return nil, balancer.Garbled
	case isSuccess(response.StatusCode) && isEventStream(response.Header):
		effect, cause := a.passStream(response)
		keep = cause == "" && whole()
		return effect, cause
	case a.passed:
		return nil, balancer.Lost // a stream can't go on with an answer of another kind
	}
	effect, cause := a.passWhole(response, header)
	keep = cause == "" && whole()
	return effect, cause
}

// connect takes a connection from the pool. A request that must not run twice
// gets a new one: an idle one may be dropped by the other end at the same moment.
func (a *attempt) connect() (*connection, error) {
	if !a.request.Repeatable {
		return dial(a.ctx, a.send.Target.Address)
	}
	return a.relayer.pool.get(a.ctx, a.send.Target.Address)
}

// outgoing returns the attempt's request.
func (a *attempt) outgoing() *http.Request {
	r := a.r
	out := &http.Request{
		Method:        r.Method,
		URL:           r.URL,
		Host:          r.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        r.Header.Clone(),
		ContentLength: int64(len(a.body)),
	}
	if len(a.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(a.body))
	}
	removeHop(out.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // none is made up
	}
	last := a.lastEvent
	if last == "" {
		last = a.header.LastEvent
	}
	a.relayer.dialect.WriteUpstream(out.Header, UpstreamHeader{
		Remaining:    a.request.Deadline.Sub(a.relayer.clock.Now()),
		Target:       a.send.Target.Upstream,
		Organisation: a.organisation,
		Urgency:      a.send.Urgency,
		Expect:       a.send.Expect,
		LastEvent:    last,
	})
	return out
}

func removeHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// readHead reads the head of the answer to this attempt. Answers to earlier ones
// are passed over.
func (a *attempt) readHead(c *connection, request *http.Request) (*http.Response, AnswerHeader, balancer.Cause) {
	for range earlyResponse + 1 {
		response, err := c.read(request)
		if err != nil {
			return nil, AnswerHeader{}, causeOf(err)
		}
		header := a.relayer.dialect.ReadAnswer(response.StatusCode, response.Header)
		if header.Attempt == a.header.Attempt {
			return response, header, ""
		}
		if header.Attempt == "" {
			return nil, header, balancer.Garbled
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBuffered)); err != nil {
			return nil, header, balancer.Lost
		}
	}
	return nil, AnswerHeader{}, balancer.Garbled
}

// causeOf tells an end of the connection from bytes that are no answer.
func causeOf(err error) balancer.Cause {
	var network interface{ Timeout() bool }
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) {
		return balancer.Lost
	}
	return balancer.Garbled
}

func isSuccess(status int) bool {
	return status >= 200 && status < 300
}

func isEventStream(h http.Header) bool {
	kind, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// passWhole takes the whole answer and then passes it on.
func (a *attempt) passWhole(response *http.Response, header AnswerHeader) (balancer.Effect, balancer.Cause) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBuffered+1))
	if err != nil || len(body) > maxBuffered {
		return nil, balancer.Lost
	}
	if !a.heard() {
		return nil, balancer.Lost
	}
	x := a.exchange
	x.relayer.reduce(balancer.Answering{Request: x.request.ID, Status: response.StatusCode, Load: header.Load})
	a.observe()
	failed := response.StatusCode >= http.StatusInternalServerError || promises(response.StatusCode)
	effect := x.relayer.reduce(balancer.Ended{Request: x.request.ID, Load: header.Load, Failed: failed})
	if _, again := effect.(balancer.Send); again {
		x.log("Attempt failed at its upstream.", zap.Int("status", response.StatusCode), zap.String("upstream", string(a.send.Target.Upstream)))
		return effect, ""
	}
	if promises(response.StatusCode) {
		// The upstream ran it, and the status would say that it did not.
		x.fail(balancer.Fail{Request: x.request.ID, Reason: balancer.MayHaveRun})
		return balancer.Go{}, ""
	}
	x.passHead(response)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(response.StatusCode)
	// A caller that went away reads no answer.
	_, _ = x.w.Write(body)
	x.served(response.StatusCode)
	return balancer.Go{}, ""
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// observe measures how far off the forecast was.
func (a *attempt) observe() {
	took := a.relayer.clock.Since(a.arrived)
	a.firstByte = took
	a.relayer.meters.firstByte.Update(took.Seconds())
	if a.attempts == 1 {
		a.relayer.meters.forecastOff.Update((took - a.send.Forecast).Abs().Seconds())
	}
}

// passHead copies the upstream's header to the caller's answer.
func (x *exchange) passHead(response *http.Response) {
	header := response.Header.Clone()
	removeHop(header)
	header.Del("Content-Length")
	target := x.w.Header()
	for name, values := range header {
		target[name] = values
	}
	if _, ok := target["Content-Type"]; !ok {
		target["Content-Type"] = nil // none is guessed
	}
}

// served writes the one line of a request that was answered by an upstream.
func (x *exchange) served(status int) {
	x.relayer.meters.answered(status)
	x.log("Served a request.", zap.Int("status", status), zap.String("upstream", string(x.lastSend.Target.Upstream)),
		zap.Duration("forecast", x.lastSend.Forecast), zap.Int("load", x.lastSend.Load),
		zap.Duration("loadAge", x.lastSend.LoadAge), zap.Int("events", x.events), zap.Duration("firstByte", x.firstByte))
}
