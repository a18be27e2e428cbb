package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
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

// beginPeriod is how long after a release was named requests may begin on an older one: less than
// the silence after which another upstream is tried.
const beginPeriod = time.Second

// generation is a request to an upstream that holds release 1, while release 2 was just named.
type generation struct {
	*call
	clock   *clockwork.FakeClock
	relayer *relayer.Relayer
	server  *httptest.Server
	set     *metrics.Set
	views   []balancer.UpstreamView
}

func startGeneration(t *testing.T, route declarer.Route, older balancer.UpstreamView, body string) *generation {
	g := &generation{clock: clockwork.NewFakeClockAt(time.Now()), set: metrics.NewSet()}
	route.Host, route.Prefix, route.Generates = "a.example", "/slots/", true
	route.Timeout, route.MaximumAttempts = requestTimeout, 2
	route.Targets = []declarer.Target{{Service: "booking", Weight: 1}}
	reducer := balancer.New(balancer.Config{RetryRatio: 0.2, RetryBurst: 10, ReleaseGracePeriod: beginPeriod / 2, ReleaseBeginPeriod: beginPeriod})
	g.relayer = relayer.New(reducer, patientDialect{}, noReports{}, noReports{}, reader.NewBudget(memory), g.clock, g.set, zap.NewNop(), 1)
	now := g.clock.Now()
	g.relayer.Declare(declarer.NewIndex(declarer.Declaration{
		Version:       1,
		Services:      map[identifier.Service]declarer.Service{"booking": {MaximumConnections: 64}},
		Routes:        map[identifier.Route]declarer.Route{"slots": route},
		Organisations: map[identifier.Organisation]declarer.Organisation{"hall": {Keys: []identifier.Digest{identifier.DigestOf([]byte("k"))}}},
	}), []balancer.ServicePolicy{{
		Service:  "booking",
		Engine:   &declarer.Engine{Slots: 8, ReadRate: 20_000, StepTime: time.Millisecond, MeanPrompt: 100, MeanAnswer: 10},
		Releases: []declarer.WantedRelease{{Number: 1, At: now.Add(-time.Hour)}, {Number: 2, At: now}},
	}})
	older.Release = 1
	g.add(older)
	g.server = httptest.NewServer(g.relayer)
	t.Cleanup(g.server.Close)
	t.Cleanup(g.relayer.Stop)
	g.call = startCall(t, g.server, body, 0)
	return g
}

// add adds an upstream.
func (g *generation) add(v balancer.UpstreamView) {
	g.views = append(g.views, v)
	g.relayer.ChangeUpstreams(g.views)
}

// addNewer adds an upstream that holds release 2 and answers.
func (g *generation) addNewer(t *testing.T, text string) *fakeUpstream {
	u := startUpstream(t, func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, text) })
	v := u.view("n")
	v.Release = 2
	g.add(v)
	return u
}

// passTime lets the time to begin requests on release 1 pass.
func (g *generation) passTime() { g.clock.Advance(beginPeriod) }

// generationKinds are the kinds of requests, and whether they may be sent again.
var generationKinds = map[string]struct {
	route      declarer.Route
	repeatable bool
}{
	"idempotent":         {declarer.Route{Kind: declarer.Idempotent}, true},
	"a resumable stream": {declarer.Route{Kind: declarer.Streaming, Resumable: true}, true},
	"a stream":           {declarer.Route{Kind: declarer.Streaming}, false},
	"once":               {declarer.Route{Kind: declarer.NonIdempotent}, false},
}

// Guards against requests that a silent upstream begins as it goes on, after the time for its release.
func TestRequestIsWithdrawnFromASilentUpstreamOfAnOlderRelease(t *testing.T) {
	for name, kind := range generationKinds {
		for size, body := range map[string]int{"small": 4, "buffered": bufferedBody} {
			for _, newer := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s body, a newer release serves: %t", name, size, newer), func(t *testing.T) {
					t.Parallel()
					older := startSleeping(t, 0)
					g := startGeneration(t, kind.route, older.view("o"), strings.Repeat("b", body))
					wait(t, older.arrived, "the request arrives")
					text, _ := conversation{kind: kind.route.Kind}.response("n", 0)
					var other *fakeUpstream
					if newer {
						other = g.addNewer(t, text)
					}
					g.passTime()
					o := wait(t, g.outcome, "the request ends")
					time.Sleep(settleTime) // the connection is closed
					close(older.wake)
					left := wait(t, older.found, "the connection ends")
					require.ErrorIs(t, left.err, syscall.ECONNRESET)
					if newer && kind.repeatable {
						require.Equal(t, http.StatusOK, o.status, "%+v", o)
						require.Equal(t, "n", o.signature)
						return
					}
					require.Equal(t, http.StatusBadGateway, o.status, "it may have run: %+v", o)
					if newer {
						require.Empty(t, other.received(), "it may have run and is sent once only")
					}
				})
			}
		}
	}
}

// queueingUpstream reads requests and keeps them without an answer.
type queueingUpstream struct {
	*fakeUpstream
	queued chan struct{}
	ended  chan error // how the connection of a queued request ends
}

// startQueueing starts an upstream that sends the text at once and then nothing.
func startQueueing(t *testing.T, text string) *queueingUpstream {
	u := &queueingUpstream{queued: make(chan struct{}, 1), ended: make(chan error, 1)}
	u.fakeUpstream = startUpstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, text)
		u.queued <- struct{}{}
		_, err := bufio.NewReader(conn).ReadByte()
		u.ended <- err
	})
	return u
}

// Guards against requests that wait in the queue of an upstream and begin after the time for its release.
func TestRequestIsWithdrawnFromTheQueueOfAnOlderRelease(t *testing.T) {
	stream, head := conversation{kind: declarer.Streaming}.response("o", 0)
	for name, kind := range generationKinds {
		texts := map[string]string{"no head": ""}
		if kind.route.Kind == declarer.Streaming {
			texts["the head"] = stream[:head]
		}
		for sent, text := range texts {
			t.Run(name+", "+sent, func(t *testing.T) {
				t.Parallel()
				older := startQueueing(t, text)
				g := startGeneration(t, kind.route, older.view("o"), "body")
				wait(t, older.queued, "the request arrives")
				answer, _ := conversation{kind: kind.route.Kind}.response("n", 0)
				g.addNewer(t, answer)
				g.passTime()
				require.ErrorIs(t, wait(t, older.ended, "the request is withdrawn"), syscall.ECONNRESET)
				o := wait(t, g.outcome, "the request ends")
				want := http.StatusBadGateway
				if kind.repeatable {
					want = http.StatusOK
				}
				require.Equal(t, want, o.status, "%+v", o)
				require.EqualValues(t, 1, g.set.GetOrCreateCounter(`celeryvalve_attempts_broken_total{cause="NotBegun"}`).Get())
			})
		}
	}
}

// Guards against a stream that is cut at the time for its release though it has begun before.
func TestStreamThatHasBegunOnAnOlderReleaseGoesOn(t *testing.T) {
	c := conversation{kind: declarer.Streaming}
	whole, head := c.response("o", 0)
	begun := head + len(namedEvents("o", 1, 1))
	older := startHeld(t, whole[:begun])
	g := startGeneration(t, declarer.Route{Kind: declarer.Streaming}, older.view("o"), "body")
	wait(t, older.reached, "the request arrives")
	wait(t, g.begun, "the stream begins")
	time.Sleep(settleTime)
	g.clock.Advance(2 * beginPeriod)
	time.Sleep(settleTime)
	g.noOutcome(t)
	older.steps <- whole[begun:]
	o := wait(t, g.outcome, "the request ends")
	require.Equal(t, http.StatusOK, o.status)
	require.Equal(t, c.content("o", 0), o.body)
}
