package relayer_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
	"celeryvalve/declarer"
)

// startEarly starts an upstream that writes the answer once it has the head of a request, and
// closes the connection without reading the body.
func startEarly(t *testing.T, answer string) balancer.UpstreamView {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Read(make([]byte, 1))
				_, _ = io.WriteString(conn, answer)
				time.Sleep(settleTime) // the answer has arrived
				_ = conn.Close()
			}()
		}
	}()
	return (&fakeUpstream{listener: listener}).view("a")
}

// Guards against an answer that is lost because its upstream ended the connection before it had
// taken in the body.
func TestAnswerBeforeTheBodyIsTakenInIsPassedOn(t *testing.T) {
	answer := "HTTP/1.1 %d X\r\nAttempt: a1\r\n%sContent-Length: 5\r\n\r\nright"
	for name, test := range map[string]struct {
		kind   declarer.RequestKind
		answer string
		status int
	}{
		"not repeatable": {declarer.NonIdempotent, fmt.Sprintf(answer, 200, "Signature: s\r\n"), http.StatusOK},
		"repeatable":     {declarer.Idempotent, fmt.Sprintf(answer, 200, "Signature: s\r\n"), http.StatusOK},
		"not executed":   {declarer.NonIdempotent, fmt.Sprintf(answer, 503, "Not-Executed: full\r\n"), http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			route := declarer.Route{Kind: test.kind, Timeout: requestTimeout, MaximumAttempts: 2}
			server, _ := startRoute(t, clockwork.NewFakeClockAt(time.Now()), route, startEarly(t, test.answer))
			o := wait(t, startCall(t, server, strings.Repeat("b", longBody), 0).outcome, "the request ends")
			require.NoError(t, o.err)
			require.Equal(t, test.status, o.status, "%+v", o)
		})
	}
}

// Guards against a request that waits for ever, or ends without an answer, beside another one with
// the same attempt id.
func TestRequestsWithOneAttemptIDAreApart(t *testing.T) {
	var both sync.WaitGroup
	both.Add(2)
	u := startUpstream(t, func(conn net.Conn, r *http.Request) {
		both.Done()
		both.Wait()
		_ = conn.Close()
	})
	route := declarer.Route{Kind: declarer.NonIdempotent, Timeout: requestTimeout, MaximumAttempts: 2}
	server, r := startRoute(t, clockwork.NewFakeClockAt(time.Now()), route, u.view("a"))
	calls := []*call{startCall(t, server, "body", 0), startCall(t, server, "body", 0)}
	for _, c := range calls {
		o := wait(t, c.outcome, "the request ends")
		require.NoError(t, o.err)
		require.Equal(t, http.StatusBadGateway, o.status)
	}
	require.Eventually(t, func() bool { return r.InFlight() == 0 }, patience, time.Millisecond)
}

// Guards against an upstream that counts as silent while it sends its answer slowly.
func TestUpstreamThatSendsSlowlyIsNotSilent(t *testing.T) {
	step := make(chan struct{})
	u := startUpstream(t, func(conn net.Conn, r *http.Request) {
		text, _ := responseOf(http.StatusOK, "a", "text/plain", "slowly")
		for _, b := range []byte(text) {
			_, _ = conn.Write([]byte{b})
			<-step
		}
	})
	second := startHeld(t, "")
	views := []balancer.UpstreamView{u.view("a"), second.view("b")}
	views[1].Region = "far"
	clock := clockwork.NewFakeClockAt(time.Now())
	server, _ := startRoute(t, clock, declarer.Route{Kind: declarer.Idempotent, Timeout: requestTimeout, MaximumAttempts: 2}, views...)
	call := startCall(t, server, "body", 0)
	text, _ := responseOf(http.StatusOK, "a", "text/plain", "slowly")
	for range len(text) {
		time.Sleep(settleTime / 5) // the byte has arrived
		clock.Advance(200 * time.Millisecond)
		step <- struct{}{}
	}
	o := wait(t, call.outcome, "the request ends")
	require.Equal(t, "slowly", o.body)
	require.Empty(t, second.received())
}
