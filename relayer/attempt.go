package relayer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/balancer"
	"celeryvalve/dialer"
	"celeryvalve/limiter"
	"celeryvalve/reader"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// maxBufferedBody is the largest response body, in bytes, that is buffered or skipped.
const maxBufferedBody = 16 << 20

// attempt is one attempt to send the request to one upstream. It performs the I/O on a goroutine of
// its own and tells its exchange what comes. Of the exchange it only reads what doesn't change while
// the request is in progress.
type attempt struct {
	*exchange
	send   balancer.Send
	ctx    context.Context
	cancel context.CancelFunc
	// proceed lets a connected attempt send the request.
	proceed chan struct{}
	beganAt time.Time
	// resumeAfter is the id of the event after which a stream is to go on, or empty.
	resumeAfter string
	silence     silence
	// unbegun fires when the response must have begun. It is nil if there is no such time.
	unbegun clockwork.Timer
	// eventsSent counts the events of its stream that were sent to the caller.
	eventsSent int
	// memory is what its answer holds: until the attempt ends, or until a whole response isn't
	// needed any more.
	memory *reader.Reservation
	// load and answer are of the header of the response, if one was read.
	load   *balancer.Load
	answer ResponseHeader
}

// post sends a message to the exchange. It returns false if the request is over.
func (a *attempt) post(content any) bool {
	select {
	case a.messages <- message{a, content}:
		return true
	case <-a.done:
		return false
	}
}

// run performs the attempt. Its connection can be used again when the last message is posted.
func (a *attempt) run() {
	content := a.perform()
	posted := content != nil && a.post(content)
	if _, ok := content.(received); ok && posted {
		return // the exchange has its memory
	}
	a.memory.Close()
}

// perform performs the attempt and returns the last message, or nil if the request is over.
func (a *attempt) perform() any {
	addr := a.send.Target.Address
	c, err := a.connect()
	if err != nil {
		a.relayer.noteDialError(a.send.Target, err)
		return failed{balancer.NotConnected}
	}
	// An expired deadline unblocks reads and writes when the attempt ends early.
	stop := context.AfterFunc(a.ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	reusable := false
	var responseHeader http.Header
	defer func() {
		intact := stop()
		switch {
		case intact && reusable && a.request.Repeatable:
			a.relayer.pool.put(addr, c, responseHeader, a.relayer.idleLimit(addr))
		case a.ctx.Err() != nil && !reusable:
			c.reset()
		default:
			c.close()
		}
	}()
	if !a.post(connected{}) {
		return nil
	}
	select {
	case <-a.proceed:
	case <-a.ctx.Done():
		return failed{balancer.NotConnected}
	}
	request := a.upstreamRequest()
	c.onActivity, c.bound.memory = a.noteActivity, a.memory
	defer func() { c.onActivity, c.bound.memory = nil, nil }()
	c.carry(a.header.Attempt)
	sent, writeErr := c.write(request)
	if !sent && writeErr != nil {
		return failed{balancer.NotConnected}
	}
	// An upstream may have answered before it took in the whole body, and ended the connection.
	response, header, cause := a.readHead(c, request)
	if cause != "" {
		return failed{cause}
	}
	responseHeader = response.Header
	a.load, a.answer = header.Load, header
	fullyRead := func() bool {
		return writeErr == nil && dialer.IsFramed(response) && !response.Close && c.reader.Buffered() == 0
	}
	switch {
	case header.Misdirected, header.NotExecuted:
		err := discard(response)
		reusable = err == nil && fullyRead()
		if header.Misdirected {
			return failed{balancer.Misdirected}
		}
		return failed{balancer.NotExecuted}
	case isSuccess(response.StatusCode) && !header.Signed:
		return failed{balancer.ProtocolError}
	case isSuccess(response.StatusCode) && isEventStream(response.Header):
		last := a.readStream(response)
		_, complete := last.(finished)
		reusable = complete && fullyRead()
		return last
	}
	body, err := a.readWhole(response)
	if err != nil {
		return failed{causeOfBody(err)}
	}
	reusable = fullyRead()
	return received{response, body}
}

// largeAnswer is the size, in bytes, from which on a response that finds no room counts as too
// large. One below it may find none because of others.
const largeAnswer = 256 << 10

// errBodyTooLarge means that the body of a response has, or announces, too many bytes.
var errBodyTooLarge = fmt.Errorf("the body of a response has more than %d bytes", maxBufferedBody)

// readWhole reads the body of the response.
func (a *attempt) readWhole(response *http.Response) (*reader.Buffer, error) {
	if response.ContentLength > maxBufferedBody {
		return nil, errBodyTooLarge
	}
	body, err := reader.ReadAll(io.LimitReader(response.Body, maxBufferedBody+1), a.memory)
	if err != nil {
		return nil, err
	}
	if body.Len() > maxBufferedBody {
		return nil, errBodyTooLarge
	}
	return body, nil
}

// discard reads the body of a response that isn't needed.
func discard(response *http.Response) error {
	if response.ContentLength > maxBufferedBody {
		return errBodyTooLarge
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBody+1))
	if err == nil && n > maxBufferedBody {
		err = errBodyTooLarge
	}
	return err
}

// connect returns a connection from the pool. A request that must not run twice
// gets a new connection, because the upstream may close an idle one just as the
// request is sent, and then it is not known whether the request ran.
func (a *attempt) connect() (*connection, error) {
	if !a.request.Repeatable {
		return dial(a.ctx, a.relayer.clock, a.send.Target.Address)
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
		ContentLength: a.body.Len(),
	}
	if a.body.Len() > 0 {
		out.Body = io.NopCloser(a.body.Reader())
	}
	removeHopByHopHeaders(out.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // prevents net/http from adding its default
	}
	a.relayer.dialect.WriteUpstream(out.Header, UpstreamHeader{
		Remaining:       a.request.Deadline.Sub(a.relayer.clock.Now()),
		Target:          a.send.Target.Upstream,
		Organisation:    a.organisation,
		Urgency:         a.send.Urgency,
		ExpectedRelease: a.send.ExpectedRelease,
		LastEvent:       a.resumeAfter,
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
		if err := discard(response); err != nil {
			return nil, header, causeOfBody(err)
		}
	}
	return nil, ResponseHeader{}, balancer.ProtocolError
}

// causeOf returns NoMemory if there is none for the head, ConnectionLost if the connection ended
// or failed, and ProtocolError if the bytes received are not an HTTP response.
func causeOf(err error) balancer.Cause {
	var noMemory *reader.NoMemoryError
	if errors.As(err, &noMemory) {
		return balancer.NoMemory
	}
	var netErr interface{ Timeout() bool }
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) {
		return balancer.ConnectionLost
	}
	return balancer.ProtocolError
}

// causeOfBody returns why the body of a response could not be read.
func causeOfBody(err error) balancer.Cause {
	var noMemory *reader.NoMemoryError
	switch {
	case errors.Is(err, errBodyTooLarge), errors.Is(err, bufio.ErrTooLong):
		return balancer.TooLarge
	case errors.As(err, &noMemory) && noMemory.Held >= largeAnswer:
		return balancer.TooLarge
	case errors.As(err, &noMemory):
		return balancer.NoMemory
	}
	return balancer.ConnectionLost
}

func isSuccess(status int) bool {
	return status >= 200 && status < 300
}

func isEventStream(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
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
func (x *exchange) recordFirstByte(a *attempt) {
	elapsed := x.relayer.clock.Since(x.arrivedAt)
	x.firstByte = elapsed
	x.relayer.meters.firstByte.Update(elapsed.Seconds())
	if a.send.Attempt == 1 {
		x.relayer.meters.recordForecastError(string(x.request.Service), elapsed-a.send.Forecast)
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
func (x *exchange) recordServed(a *attempt, status int) {
	x.replied = true
	x.relayer.meters.countResponse(status)
	x.log("Served a request.", zap.Int("status", status), zap.String("upstream", string(a.send.Target.Upstream)),
		zap.Duration("forecast", a.send.Forecast), zap.Int("load", a.send.Load),
		zap.Duration("loadAge", a.send.LoadAge), zap.Int("events", x.events), zap.Duration("firstByte", x.firstByte),
		zap.Duration("longestPause", x.longestPause), zap.Float64("pace", a.send.Pace), zap.Float64("slowness", a.send.Slowness), a.heldField())
}

// heldField says how many tokens of the prompt the upstream was taken to hold, if any.
func (a *attempt) heldField() zap.Field {
	if a.send.HeldTokens == 0 {
		return zap.Skip()
	}
	return zap.Int("held", a.send.HeldTokens)
}
