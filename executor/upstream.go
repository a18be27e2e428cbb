package executor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"syscall"
	"time"

	"celeryvalve/admitter"
	"celeryvalve/dialer"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
	"celeryvalve/router"
)

// The headers that the executor adds to the caller's headers.
const (
	headerRequest      = "X-Request-Id"
	headerAttempt      = "X-Attempt-Id"
	headerOrganisation = "X-Organisation"
	headerPriority     = "X-Priority"
	headerKey          = "Idempotency-Key"
)

// headerRequestLimit is the header in which an upstream names the requests per second that
// it accepts, a decimal number.
const headerRequestLimit = "X-Request-Limit"

const (
	readSize = 32 << 10
	// idleTimeout is shorter than the time for which an upstream is likely to keep an
	// idle connection, so that few requests use a connection that is just being closed.
	idleTimeout = 2 * time.Second
)

func newClient(keepAlive bool) *http.Client {
	return &http.Client{
		Transport: dialer.NewTransport(&http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableCompression:     true,
			DisableKeepAlives:      !keepAlive,
			MaxIdleConnsPerHost:    64,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxResponseHeaderSize,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// startRun starts the run of an admitted attempt. mu is held.
func (x *Executor) startRun(id identifier.AttemptID) {
	r := x.runs[id]
	x.counters.started.Inc()
	x.work.Add(1)
	go func() {
		defer x.work.Done()
		defer r.cancel()
		end, err := x.execute(r)
		x.finishRun(r, end, err)
	}()
}

// execute sends the request to the upstream and buffers the response. It returns the
// end of the response, or an error if the response is not complete.
func (x *Executor) execute(r *run) (*router.ResponseEnd, error) {
	silence := func() time.Duration { return max(x.cfg.ProgressTimeout, r.deadline.Sub(x.clock.Now())) }
	watchdog := x.clock.AfterFunc(silence(), r.cancel)
	defer watchdog.Stop()
	req, err := x.newRequest(r)
	if err != nil {
		return nil, err
	}
	started := x.clock.Now()
	client := x.clientFor(r)
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := x.checkAttempt(r, resp, client == x.pooledClient); err != nil {
		return nil, err
	}
	x.post(admitter.ResponseStarted{
		Attempt: r.start.Attempt,
		Latency: x.clock.Since(started),
		Limit:   limiter.ParseStatedLimit(resp.Header.Values(headerRequestLimit)),
	})
	if !isDelimited(req, resp) {
		return nil, explainer.New(explainer.Corrupt, "the response has neither a Content-Length nor a chunked body, so a cut-off response could pass for a complete one",
			"configure the upstream to respond in HTTP/1.1 with Content-Length or a chunked body")
	}
	r.setHead(responseHead(r.start, resp))
	detector := newEndDetector(x.cfg.EventStreamEnd, resp)
	err = copyBody(r, resp.Body, detector, func() { watchdog.Reset(silence()) })
	if err != nil {
		return nil, err
	}
	if err := dialer.CheckNames(resp.Trailer); err != nil {
		return nil, explainer.Wrap(err, explainer.Corrupt, "the response has an invalid trailer", "check the upstream")
	}
	if !detector.isSatisfied() {
		return nil, explainer.New(explainer.Corrupt, "the event stream ended without the event that marks its end",
			"check whether the upstream was interrupted, or change EventStreamEnd to the data of its last event")
	}
	return x.completeResponse(r, resp), nil
}

func copyBody(r *run, body io.Reader, detector *endDetector, progress func()) error {
	buf := make([]byte, readSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			progress()
			detector.observe(buf[:n])
			if err := r.appendData(buf[:n]); err != nil {
				return err
			}
			progress()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (x *Executor) clientFor(r *run) *http.Client {
	if r.start.Class == router.NonIdempotent || !x.echoesAttempts.Load() {
		return x.singleUseClient
	}
	return x.pooledClient
}

// checkAttempt returns an error if the response names another attempt, or none although the
// connection has carried other requests.
func (x *Executor) checkAttempt(r *run, resp *http.Response, kept bool) error {
	named := resp.Header.Get(headerAttempt)
	x.echoesAttempts.Store(named == string(r.start.Attempt))
	if named == string(r.start.Attempt) || named == "" && !kept {
		return nil
	}
	return explainer.New(explainer.Corrupt, fmt.Sprintf("the response names attempt %q instead of %q", named, r.start.Attempt),
		"have the upstream answer each request once, with the request's "+headerAttempt)
}

func (x *Executor) newRequest(r *run) (*http.Request, error) {
	s := r.start
	url := fmt.Sprintf("http://%s%s", x.cfg.Address, s.Path)
	ctx := httptrace.WithClientTrace(r.ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { r.connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, s.Method, url, nonRewindableBody{bytes.NewReader(r.body)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.body))
	if len(r.body) == 0 && !usuallyHasNoBody(s.Method) {
		req.Body = http.NoBody
	}
	for _, f := range s.Header {
		req.Header.Add(f.Name, f.Value)
	}
	if req.Header.Get("User-Agent") == "" {
		req.Header["User-Agent"] = nil
	}
	req.Header.Set(headerRequest, string(s.Request))
	req.Header.Set(headerAttempt, string(s.Attempt))
	req.Header.Set(headerOrganisation, string(s.Organisation))
	req.Header.Set(headerPriority, strconv.Itoa(int(s.Priority)))
	if s.Class == router.NonIdempotent {
		req.Header.Set(headerKey, string(s.Key))
	}
	return req, nil
}

// nonRewindableBody hides the type of a body from the HTTP client. The client resends
// a request by itself when a connection breaks, if it can read the body again, but an
// attempt must be sent only once.
type nonRewindableBody struct {
	*bytes.Reader
}

func (nonRewindableBody) Close() error {
	return nil
}

// usuallyHasNoBody reports whether requests of the method usually have no body. For
// these methods the HTTP client reads ahead and sends no body if it is empty, even if
// its length is hidden by nonRewindableBody.
func usuallyHasNoBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodDelete:
		return true
	}
	return false
}

// isDelimited reports whether the end of the response can be distinguished from a
// broken connection.
func isDelimited(req *http.Request, resp *http.Response) bool {
	if resp.ContentLength >= 0 || req.Method == http.MethodHead {
		return true
	}
	return len(resp.TransferEncoding) > 0
}

func responseHead(start router.AttemptStart, resp *http.Response) *router.ResponseHead {
	head := &router.ResponseHead{
		Request: start.Request,
		Attempt: start.Attempt,
		Status:  resp.StatusCode,
		Length:  identifier.ByteCount(resp.ContentLength),
	}
	head.Header = headerFields(resp.Header)
	return head
}

func headerFields(header http.Header) []router.HeaderField {
	var fields []router.HeaderField
	for name, values := range header {
		for _, v := range values {
			fields = append(fields, router.HeaderField{Name: name, Value: v})
		}
	}
	return fields
}

// completeResponse stores the outcome of a non-idempotent attempt and returns the end
// of the response.
func (x *Executor) completeResponse(r *run, resp *http.Response) *router.ResponseEnd {
	r.mu.Lock()
	end := &router.ResponseEnd{
		Request: r.start.Request,
		Attempt: r.start.Attempt,
		Length:  r.length(),
		Trailer: headerFields(resp.Trailer),
	}
	copy(end.Digest[:], r.hash.Sum(nil))
	r.mu.Unlock()
	if r.start.Class == router.NonIdempotent {
		x.settleResponse(r, resp, end)
	}
	return end
}

// finishRun reports to the reducer how the run ended, and then makes the end of a
// complete response available to the streams.
func (x *Executor) finishRun(r *run, end *router.ResponseEnd, err error) {
	id := r.start.Attempt
	if err == nil {
		x.counters.countEnded(admitter.Complete)
		x.post(admitter.AttemptFinished{Attempt: id, Kind: admitter.Complete})
		r.setEnd(end)
		return
	}
	if !r.connected.Load() && isDialError(err) {
		x.post(admitter.AttemptNotSent{Attempt: id})
		x.recordUnreachable(err)
		return
	}
	kind := x.endKind(r)
	if r.start.Class == router.NonIdempotent {
		x.settle(r.start, router.StoredAnswer{Outcome: router.Unknown})
	}
	if kind == admitter.Interrupted {
		x.detectCrash()
	}
	x.counters.countEnded(kind)
	x.post(admitter.AttemptFinished{Attempt: id, Kind: kind})
}

func (x *Executor) endKind(r *run) admitter.EndKind {
	switch {
	case r.wasStopped():
		return admitter.Stopped
	case r.ctx.Err() != nil:
		return admitter.TimedOut
	}
	return admitter.Interrupted
}

// isDialError reports whether the error occurred while the connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// endDetector checks whether an event stream ended with the event that marks its end.
// With an empty marker, and for other responses, the check always succeeds.
type endDetector struct {
	marker string
	tail   string
}

// tailSize is how many bytes of the end of an event stream are kept. The line of its
// last event must fit in.
const tailSize = 256

func newEndDetector(marker string, resp *http.Response) *endDetector {
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		marker = ""
	}
	return &endDetector{marker: marker}
}

func (e *endDetector) observe(p []byte) {
	if e.marker == "" {
		return
	}
	e.tail += string(p)
	if len(e.tail) > tailSize {
		e.tail = e.tail[len(e.tail)-tailSize:]
	}
}

func (e *endDetector) isSatisfied() bool {
	if e.marker == "" {
		return true
	}
	lines := strings.Split(strings.TrimSpace(e.tail), "\n")
	last := strings.TrimSpace(lines[len(lines)-1])
	return strings.TrimSpace(strings.TrimPrefix(last, "data:")) == e.marker && strings.HasPrefix(last, "data:")
}

func (x *Executor) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-x.clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
