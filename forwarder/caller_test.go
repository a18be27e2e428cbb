package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/forwarder"
	"celeryvalve/router"
)

// hangTimeout ends a test whose answer does not come. No passing test waits for it.
const hangTimeout = 10 * time.Second

// silentAgent accepts attempts and never answers them. It reports each one that it has received
// whole on received.
type silentAgent struct{ received chan bool }

func (a silentAgent) Open(_ context.Context, _ netip.AddrPort, first any) (forwarder.Stream, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &silentStream{agent: a, ctx: ctx, cancel: cancel}
	start, ok := first.(*router.AttemptStart)
	s.accepted = ok
	if ok {
		s.accept = &router.AttemptAccepted{Request: start.Request, Attempt: start.Attempt}
	}
	return s, nil
}

func (silentAgent) Replace(netip.AddrPort) {}

// silentStream gives one message at most.
type silentStream struct {
	agent    silentAgent
	ctx      context.Context
	cancel   context.CancelFunc
	accepted bool
	accept   *router.AttemptAccepted
}

func (s *silentStream) Send(msg any) error {
	if _, ok := msg.(*router.BodyEnd); ok {
		s.agent.received <- true
	}
	return nil
}

func (s *silentStream) Cancel() { s.cancel() }

func (s *silentStream) Receive(ctx context.Context) (any, error) {
	if s.accepted {
		s.accepted = false
		return s.accept, nil
	}
	select {
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return nil, io.ErrUnexpectedEOF
}

// startSilent starts a forwarder whose only agent is silent, and a server for its callers.
func startSilent(t *testing.T) (*forwarder.Forwarder, *httptest.Server, silentAgent) {
	agent := silentAgent{received: make(chan bool, 16)}
	f := forwarder.New(forwarder.Config{}, forwarder.Dependencies{
		Opener: agent, Authenticator: acceptAny{}, Clock: clockwork.NewFakeClockAt(time.Now()),
		Logger: zap.NewNop(), Check: asserter.Strict{},
	})
	f.Start()
	f.ChangePolicy(router.Policy{Services: []router.ServicePolicy{{Service: "drafting"}}}, nil)
	f.ChangeUpstreams([]router.UpstreamView{{Upstream: "u1", Incarnation: 1, Service: "drafting", Ready: true}})
	server := httptest.NewServer(f.Handler())
	t.Cleanup(f.Stop)
	t.Cleanup(server.Close)
	return f, server, agent
}

// caller is a connection of a caller.
type caller struct {
	t    *testing.T
	conn *net.TCPConn
}

func dial(t *testing.T, server *httptest.Server) *caller {
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(hangTimeout)))
	return &caller{t: t, conn: conn.(*net.TCPConn)}
}

// send sends a request that may be repeated.
func (c *caller) send() {
	_, err := fmt.Fprint(c.conn, "GET /drafting/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer token\r\n\r\n")
	require.NoError(c.t, err)
}

// response returns the response. The error says that the connection ended without one.
func (c *caller) response() (*http.Response, error) {
	response, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// Guards against an empty success for a request without an answer: to a caller that closes only its
// sending direction and reads on, and at the end of a stop.
func TestRequestWithoutAnAnswerIsNoSuccess(t *testing.T) {
	for name, end := range map[string]func(f *forwarder.Forwarder, c *caller){
		"the caller sends no more": func(_ *forwarder.Forwarder, c *caller) { require.NoError(t, c.conn.CloseWrite()) },
		"the forwarder stops":      func(f *forwarder.Forwarder, _ *caller) { f.Stop() },
	} {
		t.Run(name, func(t *testing.T) {
			f, server, agent := startSilent(t)
			c := dial(t, server)
			c.send()
			<-agent.received
			end(f, c)
			response, err := c.response()
			if err == nil {
				require.GreaterOrEqual(t, response.StatusCode, http.StatusInternalServerError)
			}
		})
	}
}

// Guards against a key that no command of the log can hold: its claim failed for good, and the
// caller was told to try again.
func TestKeyThatIsNoTextIsRefused(t *testing.T) {
	_, server, _ := startSilent(t)
	c := dial(t, server)
	_, err := fmt.Fprint(c.conn, "POST /drafting/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer token\r\nIdempotency-Key: k-\xff\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	response, err := c.response()
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
}
