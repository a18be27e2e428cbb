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
	"time"

	"go.uber.org/zap"

	"celeryvalve/balancer"
	"celeryvalve/limiter"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// maxBufferedBody is the largest response body, in bytes, that is buffered or skipped.
const maxBufferedBody = 16 << 20

// attempt runs one attempt and returns the reducer's next effect.
func (x *exchange) attempt(send balancer.Send) balancer.Effect {
	x.relayer.meters.attempts.Inc()
	if send.Cold {
		x.relayer.meters.coldAttempts.Inc()
	}
	x.relayer.meters.countPrompt(send)
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	a := &attempt{exchange: x, send: send, ctx: ctx, cancel: cancel}
	a.stall.a = a
	if send.FirstByteTimeout > 0 {
		a.stall.start(send.FirstByteTimeout)
	}
	effect, cause := a.run()
	switch {
	case a.handedOver != nil:
		return a.handedOver
	case effect != nil:
		return effect
	case a.stall.hasBroken() && cause == balancer.ConnectionLost:
		cause = balancer.FirstByteTimedOut
	}
	return a.reportBreak(cause)
}

// attempt is one attempt to send the request to one upstream.
type attempt struct {
	*exchange
	send   balancer.Send
	ctx    context.Context
	cancel context.CancelFunc
	stall  stallDetector
	// handedOver is the effect with which the request goes on if another attempt has begun to
	// answer it, and givenUp the one that ends it if this attempt breaks after no other took over.
	handedOver, givenUp balancer.Effect
	load                *balancer.Load
	// answer is the header of the response, if one was read.
	answer ResponseHeader
}

// reportBreak reports the failed attempt to the reducer and returns the next effect.
// If the caller has disconnected, it reports that instead.
func (a *attempt) reportBreak(cause balancer.Cause) balancer.Effect {
	x := a.exchange
	if x.r.Context().Err() != nil {
		x.log("Caller left.", zap.String("upstream", string(a.send.Target.Upstream)))
		return x.relayer.reduce(balancer.CallerGone{Request: x.request.ID})
	}
	if x.ctx.Err() != nil && cause != balancer.NotConnected && cause != balancer.NotExecuted {
		cause = balancer.Expired
	}
	x.relayer.meters.countBreak(cause)
	x.log("Attempt broke.", x.fingerprintField(), x.partsField(), zap.String("cause", string(cause)), zap.String("upstream", string(a.send.Target.Upstream)),
		zap.Int("load", a.send.Load), zap.Duration("loadAge", a.send.LoadAge), zap.Duration("forecast", a.send.Forecast),
		zap.Bool("passed", x.responseStarted), zap.Duration("rest", a.answer.Rest), zap.Bool("leaving", a.answer.Leaving))
	if a.givenUp != nil {
		return a.givenUp
	}
	x.updateHomes()
	return x.relayer.reduce(balancer.AttemptFailed{
		Request:    x.request.ID,
		Cause:      cause,
		Load:       a.load,
		PartlySent: x.responseStarted,
		Resumable:  x.route.Resumable && x.ctx.Err() == nil,
	})
}

// run performs the attempt. It returns the reducer's effect if a complete response
// was received, and the cause of the failure otherwise.
func (a *attempt) run() (balancer.Effect, balancer.Cause) {
	addr := a.send.Target.Address
	c, err := a.connect()
	if err != nil {
		a.relayer.noteDialError(a.send.Target, err)
		return nil, balancer.NotConnected
	}
	// An expired deadline unblocks reads and writes when the attempt ends early.
	stop := context.AfterFunc(a.ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	reusable := false
	var responseHeader http.Header
	defer func() {
		c.setSource(c.conn)
		sound := a.stall.detach()
		if stop() && sound && reusable && a.request.Repeatable {
			a.relayer.pool.put(addr, c, responseHeader, a.relayer.idleLimit(addr))
		} else {
			c.close()
		}
	}()
	a.updateHomes()
	if effect := a.relayer.reduce(balancer.AttemptConnected{Request: a.request.ID}); effect != (balancer.NoEffect{}) {
		return effect, ""
	}
	request := a.upstreamRequest()
	c.carry(a.header.Attempt)
	if sent, err := c.write(request); err != nil {
		if !sent {
			return nil, balancer.NotConnected
		}
		return nil, balancer.ConnectionLost
	}
	if !a.stall.attach(c.conn) {
		return nil, balancer.ConnectionLost
	}
	c.setSource(&a.stall)
	response, header, cause := a.readHead(c, request)
	if cause != "" {
		return nil, cause
	}
	responseHeader = response.Header
	a.load, a.answer = header.Load, header
	fullyRead := func() bool {
		return isFramed(response) && !response.Close && c.reader.Buffered() == 0
	}
	switch {
	case header.Misdirected, header.NotExecuted:
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBody))
		reusable = err == nil && fullyRead()
		if header.Misdirected {
			return nil, balancer.Misdirected
		}
		return nil, balancer.NotExecuted
	case isSuccess(response.StatusCode) && !header.Signed:
		return nil, balancer.ProtocolError
	case isSuccess(response.StatusCode) && isEventStream(response.Header):
		effect, cause := a.relayStream(response)
		reusable = cause == "" && fullyRead()
		return effect, cause
	case a.responseStarted:
		return nil, balancer.ConnectionLost // a resumed stream can't continue with a response that is not an event stream
	}
	effect, cause := a.relayBuffered(response, header)
	reusable = cause == "" && fullyRead()
	return effect, cause
}

// isFramed reports whether the response has a length or chunks, so that its end can be told
// from that of its connection.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked")
}

// connect returns a connection from the pool. A request that must not run twice
// gets a new connection, because the upstream may close an idle one just as the
// request is sent, and then it is not known whether the request ran.
func (a *attempt) connect() (*connection, error) {
	if !a.request.Repeatable {
		return dial(a.ctx, a.send.Target.Address)
	}
	return a.relayer.pool.get(a.ctx, a.send.Target.Address, a.header.Attempt)
}

// upstreamRequest returns the request that is sent to the upstream.
func (a *attempt) upstreamRequest() *http.Request {
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
	removeHopByHopHeaders(out.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // prevents net/http from adding its default
	}
	lastEvent := a.lastEvent
	if lastEvent == "" {
		lastEvent = a.header.LastEvent
	}
	a.relayer.dialect.WriteUpstream(out.Header, UpstreamHeader{
		Remaining:       a.request.Deadline.Sub(a.relayer.clock.Now()),
		Target:          a.send.Target.Upstream,
		Organisation:    a.organisation,
		Urgency:         a.send.Urgency,
		ExpectedRelease: a.send.ExpectedRelease,
		LastEvent:       lastEvent,
	})
	return out
}

// removeHopByHopHeaders deletes hopByHopHeaders and the headers that Connection names.
func removeHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// readHead reads the head of the response to this attempt. It skips up to
// maxEarlierResponses responses to earlier attempts on the same connection.
func (a *attempt) readHead(c *connection, request *http.Request) (*http.Response, ResponseHeader, balancer.Cause) {
	for range maxEarlierResponses + 1 {
		response, err := c.read(request)
		if err != nil {
			return nil, ResponseHeader{}, causeOf(err)
		}
		header := a.relayer.dialect.ReadAnswer(response.StatusCode, response.Header)
		a.noteRequests(header)
		if header.Attempt == a.header.Attempt {
			a.noteLimit(header)
			return response, header, ""
		}
		if header.Attempt == "" {
			return nil, header, balancer.ProtocolError
		}
		if header.Limit.Kind == limiter.LimitNamed {
			a.noteLimit(header)
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBody)); err != nil {
			return nil, header, balancer.ConnectionLost
		}
	}
	return nil, ResponseHeader{}, balancer.ProtocolError
}

// causeOf returns Lost if the connection ended or failed, and Garbled if the bytes
// received are not an HTTP response.
func causeOf(err error) balancer.Cause {
	var netErr interface{ Timeout() bool }
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) {
		return balancer.ConnectionLost
	}
	return balancer.ProtocolError
}

func isSuccess(status int) bool {
	return status >= 200 && status < 300
}

func isEventStream(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// relayBuffered reads the complete response before it sends any of it to the caller.
func (a *attempt) relayBuffered(response *http.Response, header ResponseHeader) (balancer.Effect, balancer.Cause) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBody+1))
	if err != nil || len(body) > maxBufferedBody {
		return nil, balancer.ConnectionLost
	}
	a.stall.stop()
	x := a.exchange
	x.closeStalled()
	x.relayer.reduce(balancer.ResponseStarted{Request: x.request.ID, Status: response.StatusCode, Load: header.Load})
	a.recordFirstByte()
	failed := response.StatusCode >= http.StatusInternalServerError || meansNotExecuted(response.StatusCode)
	x.updateHomes()
	effect := x.relayer.reduce(balancer.ResponseCompleted{Request: x.request.ID, Load: header.Load, IsError: failed, Unframed: !isFramed(response)})
	if _, retry := effect.(balancer.Send); retry {
		x.log("The upstream answered with an error. Retrying the request.", zap.Int("status", response.StatusCode), zap.String("upstream", string(a.send.Target.Upstream)))
		return effect, ""
	}
	if meansNotExecuted(response.StatusCode) {
		// The upstream ran the request, but the status would tell the caller that it
		// did not.
		x.fail(balancer.Fail{Request: x.request.ID, Reason: balancer.MayHaveRun})
		return balancer.NoEffect{}, ""
	}
	x.copyHeader(response)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(response.StatusCode)
	// A write error means that the caller has disconnected.
	_, _ = x.w.Write(body)
	x.recordServed(response.StatusCode)
	return balancer.NoEffect{}, ""
}

// meansNotExecuted reports whether callers read the status as a statement that the
// request has not run.
func meansNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// recordFirstByte records the time from the arrival of the request until the first
// byte of the response can be sent to the caller. For a first attempt it also records
// the error of the forecast.
func (a *attempt) recordFirstByte() {
	elapsed := a.relayer.clock.Since(a.arrivedAt)
	a.firstByte = elapsed
	a.relayer.meters.firstByte.Update(elapsed.Seconds())
	if a.attempts == 1 {
		a.relayer.meters.recordForecastError(string(a.request.Service), elapsed-a.send.Forecast)
	}
}

// copyHeader copies the end-to-end headers of the upstream's response to the
// caller's, except for Content-Length.
func (x *exchange) copyHeader(response *http.Response) {
	header := response.Header.Clone()
	removeHopByHopHeaders(header)
	header.Del("Content-Length")
	target := x.w.Header()
	for name, values := range header {
		target[name] = values
	}
	if _, ok := target["Content-Type"]; !ok {
		target["Content-Type"] = nil // prevents net/http from guessing it from the body
	}
}

// recordServed counts and logs a request that an upstream has answered as a whole.
func (x *exchange) recordServed(status int) {
	x.replied = true
	x.relayer.meters.countResponse(status)
	x.log("Served a request.", zap.Int("status", status), zap.String("upstream", string(x.lastSend.Target.Upstream)),
		zap.Duration("forecast", x.lastSend.Forecast), zap.Int("load", x.lastSend.Load),
		zap.Duration("loadAge", x.lastSend.LoadAge), zap.Int("events", x.events), zap.Duration("firstByte", x.firstByte),
		zap.Duration("longestPause", x.longestPause), zap.Float64("pace", x.lastSend.Pace), zap.Float64("slowness", x.lastSend.Slowness), x.heldField())
}

// heldField says how many tokens of the prompt the upstream was taken to hold, if any.
func (x *exchange) heldField() zap.Field {
	if x.lastSend.HeldTokens == 0 {
		return zap.Skip()
	}
	return zap.Int("held", x.lastSend.HeldTokens)
}
