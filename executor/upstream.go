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
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/router"
)

// The headers that an upstream gets besides the caller's own.
const (
	headerRequest      = "X-Request-Id"
	headerAttempt      = "X-Attempt-Id"
	headerOrganisation = "X-Organisation"
	headerPriority     = "X-Priority"
	headerKey          = "Idempotency-Key"
)

const (
	readSize = 32 << 10
	// idleTimeout is shorter than an upstream is likely to keep an idle connection,
	// so that few requests meet one that is just being closed.
	idleTimeout = 2 * time.Second
)

func newClient(keepAlive bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			DisableCompression:     true,
			DisableKeepAlives:      !keepAlive,
			MaxIdleConnsPerHost:    64,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxResponseHeader,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// begin starts the run of an admitted attempt. mu is held.
func (x *Executor) begin(id identifier.AttemptID) {
	r := x.runs[id]
	x.count.started.Inc()
	x.work.Add(1)
	go func() {
		defer x.work.Done()
		defer r.cancel()
		end, err := x.execute(r)
		x.finish(r, end, err)
	}()
}

// execute runs the attempt and returns the end of its answer when that is whole.
func (x *Executor) execute(r *run) (*router.ResponseEnd, error) {
	watchdog := x.clock.AfterFunc(x.cfg.ProgressTimeout, r.cancel)
	defer watchdog.Stop()
	req, err := x.newRequest(r)
	if err != nil {
		return nil, err
	}
	began := x.clock.Now()
	resp, err := x.clientFor(r).Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	x.post(admitter.AttemptAnswering{Attempt: r.start.Attempt, Latency: x.clock.Since(began)})
	if !hasEnd(req, resp) {
		return nil, explainer.New(explainer.Corrupt, "the answer has neither a length nor an end mark",
			"let the upstream answer in HTTP/1.1 with Content-Length or chunks")
	}
	r.setHead(headOf(r.start, resp))
	ending := newEnding(x.cfg.EventStreamEnd, resp)
	err = copyBody(r, resp.Body, ending, func() { watchdog.Reset(x.cfg.ProgressTimeout) })
	if err != nil {
		return nil, err
	}
	if !ending.seen() {
		return nil, explainer.New(explainer.Corrupt, "the event stream ended without its last event",
			"check the upstream, or the setting of its last event")
	}
	return x.complete(r, resp), nil
}

func copyBody(r *run, body io.Reader, ending *ending, progress func()) error {
	buf := make([]byte, readSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			progress()
			ending.take(buf[:n])
			if err := r.append(buf[:n]); err != nil {
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
	if r.start.Class == router.NonIdempotent {
		return x.once
	}
	return x.shared
}

func (x *Executor) newRequest(r *run) (*http.Request, error) {
	s := r.start
	url := fmt.Sprintf("http://%s%s", x.cfg.Address, s.Path)
	ctx := httptrace.WithClientTrace(r.ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { r.connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, s.Method, url, opaqueBody{bytes.NewReader(r.body)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.body))
	if len(r.body) == 0 && !lacksBody(s.Method) {
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

// opaqueBody hides the type of a body from the HTTP client, which sends a request
// again by itself on a connection that broke if it can read the body again. An
// attempt is sent once.
type opaqueBody struct {
	*bytes.Reader
}

func (opaqueBody) Close() error {
	return nil
}

// lacksBody reports whether requests of the method usually have no body. The HTTP
// client sends none for an empty opaque one then.
func lacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodDelete:
		return true
	}
	return false
}

// hasEnd reports whether the end of the answer can be told from a break.
func hasEnd(req *http.Request, resp *http.Response) bool {
	if resp.ContentLength >= 0 || req.Method == http.MethodHead {
		return true
	}
	return len(resp.TransferEncoding) > 0
}

func headOf(start router.AttemptStart, resp *http.Response) *router.ResponseHead {
	head := &router.ResponseHead{
		Request: start.Request,
		Attempt: start.Attempt,
		Status:  resp.StatusCode,
		Length:  identifier.ByteCount(resp.ContentLength),
	}
	head.Header = fieldsOf(resp.Header)
	return head
}

func fieldsOf(header http.Header) []router.HeaderField {
	var fields []router.HeaderField
	for name, values := range header {
		for _, v := range values {
			fields = append(fields, router.HeaderField{Name: name, Value: v})
		}
	}
	return fields
}

// complete settles a non-idempotent outcome and returns the end of the answer.
func (x *Executor) complete(r *run, resp *http.Response) *router.ResponseEnd {
	r.mu.Lock()
	end := &router.ResponseEnd{
		Request: r.start.Request,
		Attempt: r.start.Attempt,
		Length:  r.total(),
		Trailer: fieldsOf(resp.Trailer),
	}
	copy(end.Digest[:], r.sum.Sum(nil))
	r.mu.Unlock()
	if r.start.Class == router.NonIdempotent {
		x.settleAnswer(r, resp, end)
	}
	return end
}

// finish tells the reducer how the run ended, then lets the end be sent.
func (x *Executor) finish(r *run, end *router.ResponseEnd, err error) {
	id := r.start.Attempt
	if err == nil {
		x.count.ended(admitter.Whole)
		x.post(admitter.AttemptFinished{Attempt: id, Kind: admitter.Whole})
		r.setEnd(end)
		return
	}
	if !r.connected.Load() && isDial(err) {
		x.post(admitter.AttemptNotSent{Attempt: id})
		x.noteDown(err)
		return
	}
	kind := x.kindOf(r)
	if r.start.Class == router.NonIdempotent {
		x.settle(r.start, router.StoredAnswer{Outcome: router.Unknown})
	}
	if kind == admitter.Broke {
		x.probeOnce()
	}
	x.count.ended(kind)
	x.post(admitter.AttemptFinished{Attempt: id, Kind: kind})
}

func (x *Executor) kindOf(r *run) admitter.EndKind {
	switch {
	case r.wasStopped():
		return admitter.Stopped
	case r.ctx.Err() != nil:
		return admitter.TimedOut
	}
	return admitter.Broke
}

// isDial reports whether the error is that of making a connection.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// ending watches an event stream for its last event.
type ending struct {
	want string
	tail string
}

const tailSize = 256

func newEnding(want string, resp *http.Response) *ending {
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		want = ""
	}
	return &ending{want: want}
}

func (e *ending) take(p []byte) {
	if e.want == "" {
		return
	}
	e.tail += string(p)
	if len(e.tail) > tailSize {
		e.tail = e.tail[len(e.tail)-tailSize:]
	}
}

func (e *ending) seen() bool {
	if e.want == "" {
		return true
	}
	lines := strings.Split(strings.TrimSpace(e.tail), "\n")
	last := strings.TrimSpace(lines[len(lines)-1])
	return strings.TrimSpace(strings.TrimPrefix(last, "data:")) == e.want && strings.HasPrefix(last, "data:")
}

func (x *Executor) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-x.clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
