package relayer_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"celeryvalve/declarer"
)

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
