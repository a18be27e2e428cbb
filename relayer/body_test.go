package relayer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/reader"
	"celeryvalve/relayer"
)

const (
	// longTimeout is a route's timeout that no test reaches.
	longTimeout = time.Hour
	// hangTimeout ends a test whose answer does not come. No passing test waits for it.
	hangTimeout = 10 * time.Second
)

// bodyCaller sends one request whose body never arrives whole.
type bodyCaller struct {
	t    *testing.T
	conn net.Conn
}

// startBodyCaller starts a relayer whose only route has the timeout, and sends it the head of a
// request and a part of the body.
func startBodyCaller(t *testing.T, timeout time.Duration, views ...balancer.UpstreamView) (*relayer.Relayer, *bodyCaller) {
	r := newBodyRelayer(clockwork.NewRealClock(), timeout, views)
	server := httptest.NewServer(r)
	t.Cleanup(r.Stop)
	t.Cleanup(server.Close)
	return r, beginBody(t, server.Listener.Addr().String())
}

// newBodyRelayer returns a relayer whose only route has the timeout.
func newBodyRelayer(clock clockwork.Clock, timeout time.Duration, views []balancer.UpstreamView) *relayer.Relayer {
	r := relayer.New(balancer.New(balancer.Config{RetryRatio: 0.2, RetryBurst: 10}), dialect{}, noReports{}, noReports{}, reader.NewBudget(memory),
		clock, metrics.NewSet(), zap.NewNop(), 1)
	r.Declare(declarer.NewIndex(declarer.Declaration{
		Version:  1,
		Services: map[identifier.Service]declarer.Service{"booking": {}},
		Routes: map[identifier.Route]declarer.Route{"slots": {
			Host: "a.example", Prefix: "/slots/", Kind: declarer.NonIdempotent, Timeout: timeout, MaximumAttempts: 2, Public: true,
			Targets: []declarer.Target{{Service: "booking", Weight: 1}},
		}},
	}), []balancer.ServicePolicy{{Service: "booking"}})
	r.ChangeUpstreams(views)
	return r
}

// beginBody sends the head of a request and a part of the body.
func beginBody(t *testing.T, address string) *bodyCaller {
	conn, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST /slots/1 HTTP/1.1\r\nHost: a.example\r\nAttempt: a1\r\nContent-Length: 4\r\n\r\nbo")
	require.NoError(t, err)
	return &bodyCaller{t: t, conn: conn}
}

// Guards against a caller that learns late that its body is too large, which its head has announced,
// and against memory that is taken for it meanwhile.
func TestAnnouncedBodyBeyondTheLimitIsRefusedAtOnce(t *testing.T) {
	r := newBodyRelayer(clockwork.NewFakeClock(), longTimeout, nil)
	server := httptest.NewServer(r)
	t.Cleanup(r.Stop)
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST /slots/1 HTTP/1.1\r\nHost: a.example\r\nAttempt: a1\r\nContent-Length: 1000000000000\r\n\r\nbo")
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, (&bodyCaller{t: t, conn: conn}).response().StatusCode)
}

// response returns the response, which must be whole.
func (c *bodyCaller) response() *http.Response {
	require.NoError(c.t, c.conn.SetReadDeadline(time.Now().Add(hangTimeout)))
	response, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	require.NoError(c.t, err, "the request gets no answer")
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(c.t, err)
	require.NoError(c.t, response.Body.Close())
	return response
}

// Guards against a request whose body never arrives whole and that gets no answer when its time is
// up. The status promises that it has not run.
func TestLateBodyIsAnsweredAtTheTimeLimit(t *testing.T) {
	upstream := startUpstream(t, signedResponse("booked"))
	_, caller := startBodyCaller(t, 100*time.Millisecond, upstream.view("u"))
	require.Equal(t, http.StatusRequestTimeout, caller.response().StatusCode)
	require.Empty(t, upstream.received())
}

// Guards against a request whose body has not arrived whole at the end of a planned stop, and whose
// connection is closed without an answer.
func TestLateBodyIsAnsweredAtTheEndOfAStop(t *testing.T) {
	upstream := startUpstream(t, signedResponse("booked"))
	r, caller := startBodyCaller(t, longTimeout, upstream.view("u"))
	require.Eventually(t, func() bool { return r.InFlight() == 1 }, hangTimeout, time.Millisecond)
	now := time.Now()
	r.Drain(now, now)
	require.Equal(t, 1, r.EndRequests())
	response := caller.response()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Empty(t, upstream.received())
}

// Guards against a request that is passed on although its connection was closed for another caller as
// its body arrived: its caller may send it again.
func TestRequestWhoseConnectionWasClosedForAnotherIsNotPassedOn(t *testing.T) {
	upstream := startUpstream(t, signedResponse("booked"))
	clock := clockwork.NewFakeClock()
	r := newBodyRelayer(clock, longTimeout, []balancer.UpstreamView{upstream.view("u")})
	server := r.Server(1)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(r.Stop)
	t.Cleanup(func() { _ = server.Close() })
	first := beginBody(t, listener.Addr().String())
	require.Eventually(t, func() bool { return r.InFlight() == 1 }, hangTimeout, time.Millisecond)
	// Its body may be waited for a moment after it is in flight.
	require.Eventually(t, func() bool {
		clock.Advance(time.Second)
		response, err := http.Get("http://" + listener.Addr().String() + "/nowhere")
		if err != nil {
			return false
		}
		return response.Body.Close() == nil
	}, hangTimeout, time.Millisecond)
	_, _ = io.WriteString(first.conn, "ok") // fails once the reset has come
	require.Eventually(t, func() bool { return r.InFlight() == 0 }, hangTimeout, time.Millisecond)
	require.Empty(t, upstream.received())
}
