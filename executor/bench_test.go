package executor_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/admitter"
	"celeryvalve/asserter"
	"celeryvalve/executor"
	"celeryvalve/explainer"
	"celeryvalve/forwarder"
	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
	"celeryvalve/router"
)

// pipe is one end of an in-memory stream.
type pipe struct {
	in, out chan any
	ctx     context.Context
	cancel  context.CancelFunc
	// While the link is silent, Send drops messages without an error.
	link *link
}

var errCancelled = errors.New("stream cancelled")

func (p *pipe) Send(msg any) error {
	if p.link.isSilent() {
		return nil
	}
	select {
	case p.out <- msg:
		return nil
	case <-p.ctx.Done():
		return errCancelled
	}
}

func (p *pipe) Receive(ctx context.Context) (any, error) {
	select {
	case msg := <-p.in:
		return msg, nil
	default:
	}
	select {
	case msg := <-p.in:
		return msg, nil
	case <-p.ctx.Done():
		return nil, io.ErrUnexpectedEOF
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *pipe) Cancel() { p.cancel() }

// link is a connection that can be made to drop all messages.
type link struct {
	mu     sync.Mutex
	silent bool
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// network opens in-memory streams to executors by their addresses.
type network struct {
	mu        sync.Mutex
	executors map[netip.AddrPort]*executor.Executor
	links     map[netip.AddrPort]*link
}

func (n *network) Open(_ context.Context, addr netip.AddrPort, first any) (forwarder.Stream, error) {
	n.mu.Lock()
	x, l := n.executors[addr], n.links[addr]
	if l == nil {
		l = &link{}
		n.links[addr] = l
	}
	n.mu.Unlock()
	if x == nil {
		return nil, errors.New("no route")
	}
	ctx, cancel := context.WithCancel(context.Background())
	a, b := make(chan any, 64), make(chan any, 64)
	local := &pipe{in: b, out: a, ctx: ctx, cancel: cancel, link: l}
	remote := &pipe{in: a, out: b, ctx: ctx, cancel: func() {}, link: l}
	if !l.isSilent() {
		go x.Serve(ctx, remote, first)
	}
	return local, nil
}

// Replace makes the next stream to addr use a new link.
func (n *network) Replace(addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, addr)
}

// silence makes the current link to addr drop all messages.
func (n *network) silence(addr netip.AddrPort) {
	n.mu.Lock()
	l := n.links[addr]
	n.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
}

// fakeControl implements the claims of the control plane in memory. While it is down,
// it returns errors.
type fakeControl struct {
	mu     sync.Mutex
	down   bool
	token  identifier.FencingToken
	claims map[identifier.IdempotencyKey]*claim
}

type claim struct {
	request router.ClaimRequest
	token   identifier.FencingToken
	answer  *router.StoredAnswer
}

func (c *fakeControl) Claim(_ context.Context, r router.ClaimRequest) (router.ClaimAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.claims[r.Key]
	switch {
	case c.down:
		return router.ClaimAnswer{}, errors.New("no quorum")
	case held != nil && held.request.BodyDigest != r.BodyDigest:
		return router.ClaimAnswer{Status: router.Mismatched}, nil
	case held != nil && held.answer != nil:
		return router.ClaimAnswer{Status: router.Stored, Answer: *held.answer}, nil
	case held != nil && held.request.Attempt != r.Attempt && (r.Replaces == 0 || r.Replaces != held.token):
		h := held.request
		return router.ClaimAnswer{Status: router.Held, Token: held.token, Request: h.Request, Attempt: h.Attempt,
			Upstream: h.Upstream, Incarnation: h.Incarnation}, nil
	case held != nil && held.request.Attempt == r.Attempt:
		return router.ClaimAnswer{Status: router.Granted, Token: held.token}, nil
	}
	c.token++
	c.claims[r.Key] = &claim{request: r, token: c.token}
	return router.ClaimAnswer{Status: router.Granted, Token: c.token}, nil
}

func (c *fakeControl) Settle(_ context.Context, s router.Settlement) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.claims[s.Key]
	switch {
	case c.down:
		return errors.New("no quorum")
	case held == nil || held.token != s.Token:
	case s.Answer.Outcome == router.NotRun:
		delete(c.claims, s.Key)
	case held.answer == nil || held.answer.Outcome == router.Unknown:
		held.answer = &s.Answer
	}
	return nil
}

type discardCrashReports struct{}

func (discardCrashReports) ReportCrash(context.Context, admitter.CrashReport) error      { return nil }
func (discardCrashReports) ReportCleared(context.Context, quarantiner.Fingerprint) error { return nil }

type staticTokens map[string]identifier.Organisation

func (t staticTokens) Authenticate(token string) (identifier.Organisation, error) {
	if org, ok := t[token]; ok {
		return org, nil
	}
	return "", explainer.New(explainer.Denied, "unknown token", "")
}

// testCluster runs an entry, agents with their upstreams, and the control plane in one
// process.
type testCluster struct {
	t       *testing.T
	net     *network
	control *fakeControl
	entry   *forwarder.Forwarder
	url     string
	views   []router.UpstreamView
	agents  map[identifier.Upstream]*executor.Executor
}

func newTestCluster(t *testing.T) *testCluster {
	c := &testCluster{
		t:       t,
		net:     &network{executors: make(map[netip.AddrPort]*executor.Executor), links: make(map[netip.AddrPort]*link)},
		control: &fakeControl{claims: make(map[identifier.IdempotencyKey]*claim)},
		agents:  make(map[identifier.Upstream]*executor.Executor),
	}
	c.entry = forwarder.New(forwarder.Config{MaxBody: 1 << 20, MaxTotalBody: 1 << 20}, forwarder.Dependencies{
		Opener: c.net, Claims: c.control, Authenticator: staticTokens{"secret": "housing"},
		Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), Check: asserter.Strict{},
	})
	c.entry.Start()
	t.Cleanup(c.entry.Stop)
	srv := httptest.NewServer(c.entry.Handler())
	t.Cleanup(srv.Close)
	c.url = srv.URL
	c.entry.ChangePolicy(router.Policy{Services: []router.ServicePolicy{{Service: "booking"}}},
		[]forwarder.ServiceSettings{{Service: "booking"}})
	return c
}

func addressOf(name identifier.Upstream) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+int(name[len(name)-1])))
}

// add starts an upstream with its agent, waits until it is ready and makes it known to
// the entry.
func (c *testCluster) add(name identifier.Upstream, h http.HandlerFunc) *httptest.Server {
	return c.addWithTimeout(name, 0, h)
}

// addWithTimeout also sets the progress timeout of the agent.
func (c *testCluster) addWithTimeout(name identifier.Upstream, progressTimeout time.Duration, h http.HandlerFunc) *httptest.Server {
	srv := httptest.NewServer(h)
	c.t.Cleanup(srv.Close)
	x := executor.New(executor.Config{
		Upstream: name, Incarnation: 1, Address: netip.MustParseAddrPort(srv.Listener.Addr().String()), EventStreamEnd: "[DONE]",
		ProgressTimeout: progressTimeout,
	}, executor.Dependencies{
		Claims: c.control, CrashReporter: discardCrashReports{}, Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), Asserter: asserter.Strict{},
	})
	x.Start()
	c.t.Cleanup(x.Stop)
	require.Eventually(c.t, x.Ready, time.Minute, time.Millisecond)
	c.agents[name] = x
	c.net.mu.Lock()
	c.net.executors[addressOf(name)] = x
	c.net.mu.Unlock()
	c.views = append(c.views, router.UpstreamView{Upstream: name, Incarnation: 1, Address: addressOf(name), Service: "booking", Ready: true})
	c.entry.ChangeUpstreams(c.views)
	return srv
}

type answer struct {
	status  int
	outcome router.Outcome
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

func (c *testCluster) send(ctx context.Context, method, path string, body io.Reader, headers ...string) answer {
	req, err := http.NewRequestWithContext(ctx, method, c.url+"/booking"+path, body)
	require.NoError(c.t, err)
	req.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, outcome: router.Outcome(resp.Header.Get(forwarder.HeaderOutcome)),
		header: resp.Header, trailer: resp.Trailer, body: string(data), err: err,
	}
}

const (
	waitTimeout  = time.Minute
	pollInterval = time.Millisecond
)
