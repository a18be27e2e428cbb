package placer

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/acceptor"
	"celeryvalve/asserter"
	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/platform"
	"celeryvalve/relayer"
	"celeryvalve/spreader"
)

// Guards against an entry that restarts while a release is being loaded and then counts
// the time for the release from its own start. The time runs from when the release was
// named, or from when the entry learned of it if the leader's clock is ahead.
func TestTimeOfAReleaseOutlivesARestart(t *testing.T) {
	started := time.Unix(1_700_000_000, 0)
	names := []declarer.WantedRelease{
		{Number: 2, At: started.Add(-5 * time.Second)},
		{Number: 3, At: started.Add(2 * time.Second)}, // the leader's clock is ahead
	}
	known := localNames(started, names, nil)
	require.Equal(t, started.Add(-5*time.Second), known[0].At)
	require.Equal(t, started, known[1].At)
	later := localNames(started.Add(time.Second), names, known)
	require.Equal(t, known, later, "a known release keeps its time")
}

// Guards against an entry that calls itself ready and serves no caller, since another process
// still had its port when it began to listen.
func TestEntryListensOnceItsPortIsFree(t *testing.T) {
	held, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	clock := clockwork.NewFakeClock()
	placement := parser.Placement{Callers: held.Addr().(*net.TCPAddr).AddrPort()}
	memory := newBudget(parser.Placement{})
	rel := relayer.New(newReducer(placement), platform.Headers{}, nil, nil, memory, clock, metrics.NewSet(), zap.NewNop(), 1)
	view := declarer.NewView(asserter.Strict{})
	require.True(t, view.Set(declarer.Declared{Revision: 1, Declaration: declarer.Declaration{Version: 1}}))
	e := newEntry(placement, parser.PlacedSettings{}, view, nil, rel, nil, nil, memory, clock, metrics.NewSet(), zap.NewNop())
	e.startCallersServer()
	require.False(t, e.listening.Load())
	ready := httptest.NewRecorder()
	e.serveReadiness(ready, nil)
	require.Equal(t, http.StatusServiceUnavailable, ready.Code)
	require.NoError(t, held.Close())
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(listenRetryDelay)
	require.Eventually(t, e.listening.Load, time.Minute, time.Millisecond)
	conn, err := net.Dial("tcp4", placement.Callers.String())
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.NoError(t, e.stop(t.Context()))
}

// Guards against a call of an operator or a runner that gets no answer since the process stops: it
// was received, and its connection was closed while it was served.
func TestStopAnswersCallsInProgress(t *testing.T) {
	held, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := held.Addr().String()
	require.NoError(t, held.Close())
	clock := clockwork.NewFakeClock()
	memory := newBudget(parser.Placement{})
	rel := relayer.New(newReducer(parser.Placement{}), platform.Headers{}, nil, nil, memory, clock, metrics.NewSet(), zap.NewNop(), 1)
	e := newEntry(parser.Placement{}, parser.PlacedSettings{}, declarer.NewView(asserter.Strict{}), nil, rel, nil, nil, memory, clock, metrics.NewSet(), zap.NewNop())
	received, finish := make(chan bool), make(chan bool)
	e.control = acceptor.New(e.serverConfig("control", e.capacity.control, memory, metrics.NewSet()), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		received <- true
		<-finish
		w.WriteHeader(http.StatusAccepted)
	}))
	require.NoError(t, e.listen(e.control, address))
	answered := make(chan error, 1)
	go func() {
		response, err := http.Post("http://"+address, "", nil)
		if err == nil {
			err = response.Body.Close()
		}
		answered <- err
	}()
	<-received
	stopped := make(chan error, 1)
	go func() { stopped <- e.stop(t.Context()) }()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp4", address)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, time.Minute, time.Millisecond, "it accepts no more calls")
	close(finish)
	require.NoError(t, <-answered)
	require.NoError(t, <-stopped)
}

// Guards against retry budgets whose shares for 16 entries add up to more than what all
// entries may send, when there are more entries or some restart.
func TestRetriesOfAllEntriesStayWithinTheBudget(t *testing.T) {
	for _, entries := range []int{3, 14, 22, 38} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) { testRetriesOfAllEntries(t, entries) })
	}
}

func testRetriesOfAllEntries(t *testing.T, entries int) {
	const restarts, requestsEach = 2, 20
	var placement parser.Placement
	placement.Bounds.RetryRatio, placement.Bounds.RetryAllowance = 0.2, 112
	now := time.Unix(1_700_000_000, 0)
	retries, requests := 0, 0
	for range entries + restarts {
		r := newReducer(placement)
		r.Reduce(now, balancer.RetryBurstChanged{Burst: balancer.RetryBurst(placement.Bounds.RetryAllowance, entries+restarts)})
		r.Reduce(now, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "booking"}}})
		views := make([]balancer.UpstreamView, 3*requestsEach)
		for i := range views {
			views[i] = balancer.UpstreamView{Upstream: identifier.Upstream(fmt.Sprint(i)), Service: "booking", Slots: 8}
		}
		r.Reduce(now, balancer.UpstreamsChanged{Upstreams: views})
		for i := range requestsEach {
			q := balancer.Request{
				ID: identifier.RequestID(fmt.Sprint(i)), Service: "booking", Repeatable: true, MaximumAttempts: 2,
				Deadline: now.Add(time.Second), Random: uint64(i),
			}
			requests++
			require.IsType(t, balancer.Send{}, r.Reduce(now, balancer.RequestArrived{Request: q}))
			failed := balancer.AttemptFailed{Request: q.ID, Cause: balancer.ConnectionLost}
			if _, ok := r.Reduce(now, failed).(balancer.Send); ok {
				retries++
				r.Reduce(now, failed)
			}
		}
	}
	require.LessOrEqual(t, float64(retries), placement.Bounds.RetryAllowance+placement.Bounds.RetryRatio*float64(requests))
	require.Positive(t, retries)
}

// Guards against entries that refuse older weights too early: those serve until
// expectMargin before the deadline of a newer release, and for at least half of its time.
func TestOlderReleasesServeUntilTheMargin(t *testing.T) {
	require.Equal(t, 6800*time.Millisecond, expectAfter(8*time.Second))
	require.Equal(t, 9100*time.Millisecond, expectAfter(10300*time.Millisecond))
	require.Equal(t, 500*time.Millisecond, expectAfter(time.Second))
}

// Guards against requests that begin on an older release after the deadline of a newer one.
func TestRequestsAreWithdrawnBeforeTheDeadlineOfARelease(t *testing.T) {
	require.Equal(t, 7600*time.Millisecond, beginWithin(8*time.Second))
	require.Equal(t, 600*time.Millisecond, beginWithin(time.Second))
	require.Equal(t, 250*time.Millisecond, beginWithin(500*time.Millisecond))
}

// Guards against entries that refuse older weights although a control replica has just
// started, while the origin was away: 3.5 s without any upstream.
func TestTimeOfAReleaseWaitsForControlToSettle(t *testing.T) {
	at := func(s int64) time.Time { return time.Unix(1_700_000_000+s, 0) }
	for name, test := range map[string]struct{ startedAt, steadySince, want time.Time }{
		"a replica has started": {at(19), at(4), at(19).Add(2500 * time.Millisecond)},
		"no leader since then":  {at(19), at(23), at(23)},
		"older replicas":        {time.Time{}, at(4), at(4)},
	} {
		status := spreader.ControlStatus{StartedAt: test.startedAt, SteadySince: test.steadySince}
		require.Equal(t, test.want, steadySince(status, 3*time.Second), name)
		require.Equal(t, test.steadySince, steadySince(status, 0), "no settling time")
	}
}
