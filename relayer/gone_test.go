package relayer_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/relayer"
)

// bufferedBody is the size of a body that the connection to an upstream that doesn't read
// holds as a whole, most of it on the sender's side.
const bufferedBody = 1 << 20

// sleepingUpstream is an upstream that accepts connections and, after it has answered so many
// requests on one, reads nothing more until it is woken. It then reads all that lies there.
type sleepingUpstream struct {
	listener net.Listener
	arrived  chan struct{} // closed when a request lies there that is not read
	wake     chan struct{}
	found    chan leftover
}

// leftover is what an upstream finds when it wakes.
type leftover struct {
	size  int
	whole bool  // it is a whole request
	err   error // nil if the connection ends in order
}

// startSleeping starts an upstream that answers so many requests first.
func startSleeping(t *testing.T, answered int) *sleepingUpstream {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	u := &sleepingUpstream{listener: listener, arrived: make(chan struct{}), wake: make(chan struct{}), found: make(chan leftover, 1)}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for range answered {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			signedResponse("earlier")(conn, r)
		}
		if !waitForBytes(t.Context(), conn.(*net.TCPConn)) {
			return
		}
		close(u.arrived)
		select {
		case <-u.wake:
		case <-t.Context().Done():
			return
		}
		data, err := io.ReadAll(reader)
		u.found <- leftover{size: len(data), whole: isWholeRequest(data), err: err}
	}()
	return u
}

// waitForBytes waits until bytes lie on the connection, and no more come.
func waitForBytes(ctx context.Context, conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	for before := 0; ctx.Err() == nil; {
		n := 0
		if err := raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); err != nil {
			return false
		}
		if n > 0 && n == before {
			return true
		}
		before = n
		time.Sleep(settleTime)
	}
	return false
}

func isWholeRequest(data []byte) bool {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
	if err != nil {
		return false
	}
	n, err := io.Copy(io.Discard, r.Body)
	return err == nil && n == r.ContentLength
}

func (u *sleepingUpstream) view(name identifier.Upstream) balancer.UpstreamView {
	return balancer.UpstreamView{Upstream: name, Service: "booking", Slots: 8, Address: u.listener.Addr().(*net.TCPAddr).AddrPort()}
}

// departure is a way in which a request ends before its upstream has read it.
type departure struct {
	// other says that another upstream is tried and answers.
	other bool
	end   func(*goneRequest)
	// status is that of the answer, or 0 if the caller has left.
	status int
}

// goneRequest is a request whose upstream reads nothing.
type goneRequest struct {
	*call
	clock   *clockwork.FakeClock
	relayer *relayer.Relayer
}

var departures = map[string]departure{
	"the caller leaves":     {end: func(g *goneRequest) { g.leave() }},
	"the time limit passes": {end: func(g *goneRequest) { g.clock.Advance(requestTimeout) }, status: http.StatusGatewayTimeout},
	"another one answers":   {other: true, end: func(g *goneRequest) { g.clock.Advance(silence) }, status: http.StatusOK},
	"the entry stops":       {end: func(g *goneRequest) { g.relayer.EndRequests() }, status: http.StatusGatewayTimeout},
}

// Guards against requests that an upstream which stood still finds whole when it wakes, though they
// have ended long before. What had arrived before a reset can be read on Linux, so a request that
// fits counts as withdrawn if the connection ends with a reset.
func TestRequestThatHasEndedIsWithdrawn(t *testing.T) {
	for name, d := range departures {
		for size, body := range map[string]int{"small": 4, "buffered": bufferedBody, "4 MiB": longBody} {
			for connection, kept := range map[string]int{"new": 0, "kept": 1} {
				for _, kind := range []declarer.RequestKind{declarer.Idempotent, declarer.NonIdempotent} {
					if kind == declarer.NonIdempotent && (kept > 0 || d.other) {
						continue // these get a connection and an upstream of their own
					}
					t.Run(fmt.Sprintf("%s, %s body, %s connection, %v", name, size, connection, kind), func(t *testing.T) {
						t.Parallel()
						left := depart(t, d, kind, kept, strings.Repeat("b", body))
						if left.whole {
							require.Less(t, body, bufferedBody, "the upstream finds %d bytes, a whole request", left.size)
							require.ErrorIs(t, left.err, syscall.ECONNRESET, "the upstream finds a whole request")
						}
					})
				}
			}
		}
	}
}

// depart sends a request that ends as the departure says, and returns what its upstream finds
// afterwards.
func depart(t *testing.T, d departure, kind declarer.RequestKind, kept int, body string) leftover {
	u := startSleeping(t, kept)
	views := []balancer.UpstreamView{u.view("a")}
	if d.other {
		v := startUpstream(t, signedResponse("other")).view("b")
		v.Region = "far"
		views = append(views, v)
	}
	g := &goneRequest{clock: clockwork.NewFakeClockAt(time.Now())}
	route := declarer.Route{Kind: kind, Timeout: requestTimeout, MaximumAttempts: 2}
	var server *httptest.Server
	server, g.relayer = startRoute(t, g.clock, route, views...)
	if kept > 0 {
		earlier := request(t, server, "/slots/1")
		earlier.Header.Set("Attempt", "a0")
		response, err := http.DefaultClient.Do(earlier)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	g.call = startCall(t, server, body, 0)
	var o outcome
	select {
	case <-u.arrived:
		d.end(g)
		o = wait(t, g.outcome, "the request ends")
	case o = <-g.outcome:
		require.FailNow(t, "the request has ended", "%+v", o)
	}
	require.Equal(t, d.status, o.status, "%+v", o)
	require.Eventually(t, func() bool { return g.relayer.InFlight() == 0 }, patience, time.Millisecond)
	time.Sleep(settleTime) // the connection is closed
	close(u.wake)
	return wait(t, u.found, "the connection ends")
}

// answeringUpstream is an upstream that answers one request on each connection and reads on.
type answeringUpstream struct {
	*fakeUpstream
	answered chan struct{} // closed when the first answer was written
	ended    chan error    // how connections end: nil if in order
}

// startAnswering starts an upstream that writes the text as the answer, before it reads the body
// if it is early.
func startAnswering(t *testing.T, text string, early bool) *answeringUpstream {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	u := &answeringUpstream{fakeUpstream: &fakeUpstream{listener: listener}, answered: make(chan struct{}, 8), ended: make(chan error, 8)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				u.ended <- u.serve(conn, text, early)
				_ = conn.Close()
			}()
		}
	}()
	return u
}

func (u *answeringUpstream) serve(conn net.Conn, text string, early bool) error {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if early {
			_, err = io.WriteString(conn, text)
			time.Sleep(settleTime) // it has been passed on
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return err
		}
		if !early {
			_, err = io.WriteString(conn, text)
		}
		if err != nil {
			return err
		}
		u.answered <- struct{}{}
	}
}

// Guards against a reset of a connection whose request was answered whole.
func TestConnectionOfAnAnsweredRequestIsNotReset(t *testing.T) {
	body := "HTTP/1.1 %d X\r\nAttempt: a1\r\nSignature: a\r\n%sContent-Length: 5\r\n\r\nright"
	stream, _ := responseOf(http.StatusOK, "a", "text/event-stream", namedEvents("a", 1, lastEvent))
	for name, test := range map[string]struct {
		route  declarer.Route
		text   string
		early  bool
		status int
	}{
		"once":                      {declarer.Route{Kind: declarer.NonIdempotent}, fmt.Sprintf(body, 200, ""), false, 200},
		"once, answered early":      {declarer.Route{Kind: declarer.NonIdempotent}, fmt.Sprintf(body, 200, ""), true, 200},
		"once, an error":            {declarer.Route{Kind: declarer.NonIdempotent}, fmt.Sprintf(body, 500, ""), false, 500},
		"once, not executed":        {declarer.Route{Kind: declarer.NonIdempotent}, fmt.Sprintf(body, 503, "Not-Executed: full\r\n"), false, 503},
		"repeatable":                {declarer.Route{Kind: declarer.Idempotent}, fmt.Sprintf(body, 200, ""), false, 200},
		"repeatable, early":         {declarer.Route{Kind: declarer.Idempotent}, fmt.Sprintf(body, 200, ""), true, 200},
		"repeatable, to be closed":  {declarer.Route{Kind: declarer.Idempotent}, fmt.Sprintf(body, 200, "Connection: close\r\n"), false, 200},
		"repeatable, an error":      {declarer.Route{Kind: declarer.Idempotent}, fmt.Sprintf(body, 500, ""), false, 500},
		"a stream":                  {declarer.Route{Kind: declarer.Streaming}, stream, false, 200},
		"a resumable stream":        {declarer.Route{Kind: declarer.Streaming, Resumable: true}, stream, false, 200},
		"a resumable stream, early": {declarer.Route{Kind: declarer.Streaming, Resumable: true}, stream, true, 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := startAnswering(t, test.text, test.early)
			test.route.Timeout, test.route.MaximumAttempts = requestTimeout, 2
			server, r := startRoute(t, clockwork.NewFakeClockAt(time.Now()), test.route, u.view("a"))
			call := startCall(t, server, strings.Repeat("b", bufferedBody), 0)
			o := wait(t, call.outcome, "the request ends")
			require.NoError(t, o.err)
			require.Equal(t, test.status, o.status)
			wait(t, u.answered, "the upstream reads the whole request")
			call.leave()
			r.EndRequests()
			r.Stop()
			require.NoError(t, wait(t, u.ended, "the connection ends"))
		})
	}
}

// slowCaller is a caller that has got the head of a long answer and reads no further.
type slowCaller struct {
	conn     net.Conn
	response *http.Response
}

// longAnswer is the size of an answer that is passed on whole, and more than the
// connection to a caller that doesn't read can hold.
const longAnswer = 15 << 20

func startSlowCaller(t *testing.T, server *httptest.Server) *slowCaller {
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &slowCaller{conn: conn}
	require.NoError(t, request(t, server, "/slots/1").Write(conn))
	c.response, err = http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.response.Body.Close() })
	time.Sleep(settleTime) // the connection holds no more
	return c
}

// Guards against an answer that is cut on its way to a caller who reads slowly, and against a reset
// of the upstream's connection then: the answer is whole, and the request ends in another way.
func TestAnswerOnItsWayIsNotCut(t *testing.T) {
	text, _ := responseOf(http.StatusOK, "a", "text/plain", strings.Repeat("x", longAnswer))
	for name, test := range map[string]struct {
		end  func(*slowCaller, *relayer.Relayer, *clockwork.FakeClock)
		gone bool
	}{
		"the time limit passes": {func(_ *slowCaller, _ *relayer.Relayer, clock *clockwork.FakeClock) {
			clock.Advance(requestTimeout)
			time.Sleep(settleTime)
		}, false},
		"the entry stops":   {func(_ *slowCaller, r *relayer.Relayer, _ *clockwork.FakeClock) { r.EndRequests() }, false},
		"the caller leaves": {func(c *slowCaller, _ *relayer.Relayer, _ *clockwork.FakeClock) { _ = c.conn.Close() }, true},
	} {
		for _, kind := range []declarer.RequestKind{declarer.Idempotent, declarer.NonIdempotent} {
			t.Run(fmt.Sprintf("%s, %v", name, kind), func(t *testing.T) {
				t.Parallel()
				u := startAnswering(t, text, false)
				route := declarer.Route{Kind: kind, Timeout: requestTimeout, MaximumAttempts: 2}
				clock := clockwork.NewFakeClockAt(time.Now())
				server, r := startRoute(t, clock, route, u.view("a"))
				c := startSlowCaller(t, server)
				require.Equal(t, 1, r.InFlight(), "the answer is on its way")
				test.end(c, r, clock)
				if !test.gone {
					require.Equal(t, http.StatusOK, c.response.StatusCode)
					n, err := io.Copy(io.Discard, c.response.Body)
					require.NoError(t, err)
					require.EqualValues(t, longAnswer, n)
				}
				require.Eventually(t, func() bool { return r.InFlight() == 0 }, patience, time.Millisecond)
				r.Stop()
				require.NoError(t, wait(t, u.ended, "the upstream's connection ends"))
			})
		}
	}
}

// Guards against an answer that is cut because the attempt that it replaces is withdrawn.
func TestAnswerOfAnotherUpstreamIsNotCut(t *testing.T) {
	t.Parallel()
	first := startHeld(t, "")
	text, _ := responseOf(http.StatusOK, "b", "text/plain", strings.Repeat("x", longAnswer))
	second := startAnswering(t, text, false)
	view := second.view("b")
	view.Region = "far"
	clock := clockwork.NewFakeClockAt(time.Now())
	server, r := startRoute(t, clock, conversations["an answer"].route(2, requestTimeout), first.view("a"), view)
	call := startCall(t, server, "body", 0)
	wait(t, first.reached, "the first upstream gets the request")
	clock.Advance(silence)
	o := wait(t, call.outcome, "the request ends")
	require.NoError(t, o.err)
	require.Equal(t, http.StatusOK, o.status)
	require.Equal(t, "b", o.signature)
	require.Len(t, o.body, longAnswer)
	wait(t, first.left, "the first upstream is left")
	r.Stop()
	require.NoError(t, wait(t, second.ended, "the connection ends"))
}
