package placer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/balancer"
	"celeryvalve/certifier"
	"celeryvalve/commander"
	"celeryvalve/connector"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/relayer"
	"celeryvalve/spreader"
)

// plainDialect reads and writes headers that are named after what they hold.
type plainDialect struct{}

func (plainDialect) ReadCaller(h http.Header) relayer.CallerHeader {
	return relayer.CallerHeader{Attempt: identifier.AttemptID(h.Get("Attempt")), Key: h.Get("Key")}
}

func (plainDialect) WriteUpstream(h http.Header, u relayer.UpstreamHeader) {
	h.Set("Target", string(u.Target))
}

func (plainDialect) ReadAnswer(_ int, h http.Header) relayer.ResponseHeader {
	return relayer.ResponseHeader{Attempt: identifier.AttemptID(h.Get("Attempt")), Signed: true}
}

func (plainDialect) WriteOwn(h http.Header, _ identifier.AttemptID, retryAfter time.Duration) {
	h.Set("Retry-After", fmt.Sprintf("%.3f", retryAfter.Seconds()))
}

// routeWorld is an entry with two upstreams, asked over QUIC and served over HTTP.
type routeWorld struct {
	t       *testing.T
	keys    string
	relayer *relayer.Relayer
	clock   clockwork.Clock
	address string
	ran     chan string // the targets of the requests that upstreams got
}

func newRouteWorld(t *testing.T) *routeWorld {
	w := &routeWorld{t: t, keys: t.TempDir(), ran: make(chan string, 1)}
	authority, err := certifier.CreateAuthority(w.keys, time.Now())
	require.NoError(t, err)
	for name, role := range map[string]certifier.Role{EntryKey: certifier.Entry, AgentKey: certifier.Agent, "operator": certifier.Operator} {
		require.NoError(t, authority.Issue(name, []certifier.Role{role}, time.Now()))
	}
	engine := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.ran <- r.Header.Get("Target")
		rw.Header().Set("Attempt", r.Header.Get("Attempt"))
		fmt.Fprint(rw, "ok")
	}))
	t.Cleanup(engine.Close)
	w.clock = clockwork.NewFakeClockAt(time.Now())
	placement := parser.Placement{Instance: "entry-1"}
	w.relayer = relayer.New(newReducer(placement), plainDialect{}, nil, (*spreader.Spreader)(nil), newBudget(placement), w.clock, metrics.NewSet(), zap.NewNop(), 1)
	t.Cleanup(w.relayer.Stop)
	w.relayer.Declare(declarer.NewIndex(declarer.Declaration{
		Version: 1,
		Routes: map[identifier.Route]declarer.Route{"slots": {
			Host: "a.example", Prefix: "/slots/", Kind: declarer.Idempotent, Timeout: 3 * time.Second, FirstByte: 100 * time.Millisecond,
			MaximumAttempts: 1, Homes: declarer.Homes{"north"}, Targets: []declarer.Target{{Service: "booking", Weight: 1}},
		}},
		Organisations: map[identifier.Organisation]declarer.Organisation{"hall": {Keys: []identifier.Digest{identifier.DigestOf([]byte("k"))}}},
	}), []balancer.ServicePolicy{{Service: "booking"}})
	address := netip.MustParseAddrPort(engine.Listener.Addr().String())
	w.relayer.ChangeUpstreams([]balancer.UpstreamView{
		{Upstream: "u1", Service: "booking", Region: "north", Slots: 2, Address: address, Draining: true},
		{Upstream: "u2", Service: "booking", Region: "north", Slots: 2, Address: address},
	})
	codec, err := newCodec()
	require.NoError(t, err)
	e := connector.New(connector.Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), HandshakeTimeout: time.Minute, IdleTimeout: time.Minute,
	}, codec, certifier.NewSource(certifier.PathsIn(w.keys, EntryKey)), versions{declarer.NewView(asserter.Strict{})}, zap.NewNop())
	serveRoutes(placement, e, w.relayer, zap.NewNop())
	require.NoError(t, e.Start())
	t.Cleanup(func() { _ = e.Stop() })
	w.address = e.Address().String()
	return w
}

const routedRequest = "POST /slots/1 HTTP/1.1\r\nHost: a.example\r\nAttempt: a1\r\nKey: k\r\nContent-Length: 4\r\n\r\nbody"

// run runs the command and returns its exit code and outputs. No time passes for questions to
// the entry.
func (w *routeWorld) run(name, output, request, entry string) (int, string, string) {
	path := filepath.Join(w.t.TempDir(), "request")
	require.NoError(w.t, os.WriteFile(path, []byte(request), 0o600))
	clock := w.clock
	if entry != w.address {
		clock = clockwork.NewRealClock() // nobody answers
	}
	var out, problems bytes.Buffer
	code := commander.Run([]string{"--keys", w.keys, "--name", name, "--output", output, "route", "--entry", entry, path}, &out, &problems, clock)
	return code, out.String(), problems.String()
}

// What the command says is what then happens: on an idle upstream, and on one with 40
// requests in 2 slots, whose forecast misses an objective of 100 ms.
func TestRouteSaysWhatThenHappens(t *testing.T) {
	for name, load := range map[string]balancer.Load{"idle": {Slots: 2}, "full": {Running: 2, Waiting: 38, Slots: 2}} {
		t.Run(name, func(t *testing.T) {
			w := newRouteWorld(t)
			w.relayer.ObserveLoad("u2", load)
			code, text, problems := w.run("operator", "text", routedRequest, w.address)
			require.Zero(t, code, problems)
			require.Contains(t, text, "route slots (Idempotent), organisation hall, service booking, priority 0, homes north of the route and any")
			require.Contains(t, text, string(balancer.PassedDraining))
			code, data, problems := w.run("operator", "json", routedRequest, w.address)
			require.Zero(t, code, problems)
			var list []relayer.Explanation
			require.NoError(t, json.Unmarshal([]byte(data), &list))
			require.Len(t, list, 1)
			require.Empty(t, w.ran, "nothing is sent")
			require.True(t, w.relayer.LastArrival().IsZero(), "nothing is counted")
			request, err := relayer.ParseRequest([]byte(routedRequest))
			require.NoError(t, err)
			answer := httptest.NewRecorder()
			w.relayer.ServeHTTP(answer, request)
			d := list[0].Decision
			require.Equal(t, name == "idle", d.Admitted)
			if d.Admitted {
				require.Equal(t, http.StatusOK, answer.Code)
				require.Equal(t, string(d.Choice), <-w.ran)
				require.Contains(t, text, "admitted: to u2")
				return
			}
			require.Equal(t, http.StatusServiceUnavailable, answer.Code)
			require.Contains(t, answer.Body.String(), string(d.Reason))
			require.Equal(t, fmt.Sprintf("%.3f", d.RetryAfter.Seconds()), answer.Header().Get("Retry-After"))
			require.Contains(t, text, "refused: Overloaded")
		})
	}
}

func TestRouteRejectsWithAnExitCode(t *testing.T) {
	w := newRouteWorld(t)
	for name, c := range map[string]struct {
		key, request, entry string
		code                int
		problem             string
	}{
		"unreadable":     {"operator", "POST", w.address, commander.ExitInvalidInput, "can't be read"},
		"no id":          {"operator", strings.Replace(routedRequest, "Attempt: a1", "Other: a1", 1), w.address, commander.ExitInvalidInput, "no attempt id"},
		"unknown host":   {"operator", strings.Replace(routedRequest, "a.example", "b.example", 1), w.address, commander.ExitNotFound, "no route"},
		"unknown key":    {"operator", strings.Replace(routedRequest, "Key: k", "Key: x", 1), w.address, commander.ExitDenied, "belongs to no organisation"},
		"not an address": {"operator", routedRequest, "entry-1", commander.ExitInvalidInput, "no address"},
		"no operator":    {AgentKey, routedRequest, w.address, commander.ExitDenied, "role Operator"},
		"no entry there": {"operator", routedRequest, "127.0.0.1:9", commander.ExitUnavailable, "can't be asked"},
	} {
		t.Run(name, func(t *testing.T) {
			code, _, problems := w.run(c.key, "text", c.request, c.entry)
			require.Equal(t, c.code, code, problems)
			require.Contains(t, problems, c.problem)
		})
	}
}
