package relayer_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
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
	// endlessCalls is how many requests are at upstreams that send without end.
	endlessCalls = 80
	// endlessPart is what is sent of each answer before the memory is measured: less than an
	// entry takes in of one answer.
	endlessPart = 12 << 20
	// memoryTarget is the soft limit of an entry with the least memory in the deployments.
	memoryTarget = 110_000_000
	// soundAnswer is the size of an answer that a caller gets beside the endless ones.
	soundAnswer = 64 << 10
)

// endlessAnswers are the heads of answers, each with what is sent after it without end.
var endlessAnswers = map[string]struct{ head, more string }{
	"a body without a length": {"200 OK\r\nSignature: s\r\n\r\n", strings.Repeat("a", 16<<10)},
	"a body in chunks":        {"200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + strings.Repeat("a", 16<<10) + "\r\n"},
	"a length of 10^12":       {"200 OK\r\nSignature: s\r\nContent-Length: 1000000000000\r\n\r\n", strings.Repeat("a", 16<<10)},
	"the body of an error":    {"503 X\r\n\r\n", strings.Repeat("a", 16<<10)},
	"one event":               {"200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ", strings.Repeat("a", 16<<10)},
}

// endlessWorld is an entry with a service whose upstream sends without end once all requests are
// there, and with a sound one.
type endlessWorld struct {
	t      *testing.T
	server *httptest.Server
	// arrived counts the requests at the upstream, and begin is closed once all are there.
	arrived atomic.Int64
	begin   chan struct{}
	// parts waits until a part of each answer is sent, or its connection closed. The upstream
	// goes on once measured is closed.
	parts    sync.WaitGroup
	measured chan struct{}
}

func startEndless(t *testing.T, kind declarer.RequestKind, head, more string, calls int) (*endlessWorld, *relayer.Relayer) {
	w := &endlessWorld{t: t, begin: make(chan struct{}), measured: make(chan struct{})}
	w.parts.Add(calls)
	text := []byte(more) // once for all connections
	endless := startUpstream(t, func(conn net.Conn, r *http.Request) {
		if w.arrived.Add(1) == int64(calls) {
			close(w.begin)
		}
		<-w.begin
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %s", strings.Replace(head, "\r\n", "\r\nAttempt: "+r.Header.Get("Attempt")+"\r\n", 1))
		for n := 0; err == nil && n < endlessPart; n += len(text) {
			_, err = conn.Write(text)
		}
		w.parts.Done()
		<-w.measured
		for err == nil {
			_, err = conn.Write(text)
		}
		_ = conn.Close()
	})
	sound := startUpstream(t, signedResponse(strings.Repeat("s", soundAnswer)))
	views := []balancer.UpstreamView{endless.view("endless"), sound.view("sound")}
	views[0].Slots, views[1].Service = calls, "other"
	reducer := balancer.New(balancer.Config{RetryRatio: 0.2, RetryBurst: 10})
	rel := relayer.New(reducer, patientDialect{}, noReports{}, noReports{}, reader.NewBudget(memory), clockwork.NewFakeClockAt(time.Now()), metrics.NewSet(), zap.NewNop(), 1)
	route := func(prefix string, service identifier.Service) declarer.Route {
		return declarer.Route{Host: "a.example", Prefix: prefix, Kind: kind, Timeout: longTimeout, MaximumAttempts: 2, Public: true,
			Targets: []declarer.Target{{Service: service, Weight: 1}}}
	}
	rel.Declare(declarer.NewIndex(declarer.Declaration{
		Version:  1,
		Services: map[identifier.Service]declarer.Service{"booking": {}, "other": {}},
		Routes:   map[identifier.Route]declarer.Route{"slots": route("/slots/", "booking"), "other": route("/other/", "other")},
	}), []balancer.ServicePolicy{{Service: "booking"}, {Service: "other"}})
	rel.ChangeUpstreams(views)
	w.server = httptest.NewServer(rel)
	t.Cleanup(rel.Stop)
	t.Cleanup(w.server.Close)
	return w, rel
}

// status sends a request and returns the status and the size of the answer.
func (w *endlessWorld) status(path string) (status, size int) {
	response, err := http.DefaultClient.Do(request(w.t, w.server, path))
	if err != nil {
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return 0, 0
	}
	return response.StatusCode, int(n)
}

// Guards against an entry that runs out of memory, and fails the requests of all its callers, since
// it buffers the answers of upstreams that send without end.
func TestEndlessAnswersStayWithinTheMemoryOfTheEntry(t *testing.T) {
	for name, c := range endlessAnswers {
		for _, kind := range []declarer.RequestKind{declarer.Idempotent, declarer.NonIdempotent} {
			t.Run(fmt.Sprint(name, ", ", kind), func(t *testing.T) {
				w, rel := startEndless(t, kind, c.head, c.more, endlessCalls)
				var calls sync.WaitGroup
				statuses := make(chan int, endlessCalls)
				for range endlessCalls {
					calls.Go(func() {
						status, _ := w.status("/slots/1")
						statuses <- status
					})
				}
				<-w.begin
				done := make(chan struct{})
				go func() {
					w.parts.Wait()
					close(done)
				}()
				for served := 0; served == 0 || !isClosed(done); served++ {
					status, size := w.status("/other/1")
					require.Equal(t, http.StatusOK, status, "the request of another caller")
					require.Equal(t, soundAnswer, size)
				}
				require.Less(t, heapInUse(), uint64(memoryTarget))
				close(w.measured)
				calls.Wait()
				close(statuses)
				for status := range statuses {
					require.Equal(t, http.StatusBadGateway, status, "the request may have run")
				}
				status, _ := w.status("/slots/1")
				require.Equal(t, http.StatusServiceUnavailable, status, "the upstream is asked again")
				require.Eventually(t, func() bool { return rel.InFlight() == 0 }, patience, time.Millisecond)
			})
		}
	}
}

// Guards against an entry that runs out of memory since upstreams send large events without end to
// callers that do not read.
func TestEventsForCallersThatDoNotReadStayWithinTheMemoryOfTheEntry(t *testing.T) {
	more := "data: " + strings.Repeat("a", 1<<20-16) + "\n\n"
	w, _ := startEndless(t, declarer.Streaming, "200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n", more, endlessCalls)
	for range endlessCalls {
		conn, err := net.Dial("tcp4", w.server.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
		_, err = io.WriteString(conn, "POST /slots/1 HTTP/1.1\r\nHost: a.example\r\nAttempt: a1\r\nContent-Length: 0\r\n\r\n")
		require.NoError(t, err)
	}
	<-w.begin
	for range 10 {
		status, size := w.status("/other/1")
		require.Equal(t, http.StatusOK, status, "the request of another caller")
		require.Equal(t, soundAnswer, size)
	}
	require.Eventually(t, func() bool { return heapInUse() < memoryTarget }, hangTimeout, settleTime, "the streams stand still")
	close(w.measured)
}

// Guards against callers whose bodies together take the memory of an entry. Each is below its limit.
// A request whose body finds no room has not run, and is refused at once.
func TestBodiesOfCallersStayWithinTheMemoryOfTheEntry(t *testing.T) {
	w, rel := startEndless(t, declarer.NonIdempotent, "", "", 1)
	const size = 4 << 20
	body := bytes.Repeat([]byte("a"), size-1)
	refused := make(chan *http.Response, endlessCalls)
	for range endlessCalls {
		conn, err := net.Dial("tcp4", w.server.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		go func() {
			fmt.Fprintf(conn, "POST /slots/1 HTTP/1.1\r\nHost: a.example\r\nAttempt: a1\r\nContent-Length: %d\r\n\r\n", size)
			_, _ = conn.Write(body)
		}()
		go func() {
			if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				refused <- response
			}
		}()
	}
	first := wait(t, refused, "the refusal of a body")
	require.Equal(t, http.StatusServiceUnavailable, first.StatusCode)
	require.NotEmpty(t, first.Header.Get("Retry-After"))
	require.Eventually(t, func() bool { return rel.InFlight()*size <= memory+size }, patience, time.Millisecond)
	status, _ := w.status("/other/1")
	require.Equal(t, http.StatusOK, status, "the request of another caller")
	require.Less(t, heapInUse(), uint64(memoryTarget))
	require.Zero(t, w.arrived.Load(), "a request whose body is not whole must not run")
}

// Guards against the rest of a long body that is taken for the answer to the next request.
func TestConnectionIsNotUsedAgainWithinABody(t *testing.T) {
	const taken = 16 << 20 // what is read of a body that isn't needed
	var mu sync.Mutex
	connections := make(map[net.Conn]bool)
	u := startUpstream(t, func(conn net.Conn, r *http.Request) {
		mu.Lock()
		connections[conn] = true
		mu.Unlock()
		fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nAttempt: %s\r\nNot-Executed: 1\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Attempt"), taken+1)
		_, _ = conn.Write(make([]byte, taken))
	})
	server, _ := startRoute(t, clockwork.NewRealClock(), declarer.Route{Kind: declarer.Idempotent, Timeout: longTimeout, MaximumAttempts: 2}, u.view("u"))
	for i := range 2 {
		r := request(t, server, "/slots/1")
		r.Header.Set("Attempt", fmt.Sprint("a", i))
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	}
	require.Len(t, u.received(), 2)
	mu.Lock()
	defer mu.Unlock()
	require.Len(t, connections, 2)
}

// Guards against a sound large answer, or a large body, that finds no room in an entry with the least
// memory.
func TestLargestAnswerFindsRoom(t *testing.T) {
	content := strings.Repeat("0123456789abcdef", 1<<20)
	u := startUpstream(t, signedResponse(content))
	server, _ := startRoute(t, clockwork.NewRealClock(), declarer.Route{Kind: declarer.NonIdempotent, Timeout: longTimeout, MaximumAttempts: 2}, u.view("u"))
	o := wait(t, startCall(t, server, strings.Repeat("b", longBody), 0).outcome, "the request ends")
	require.NoError(t, o.err)
	require.Equal(t, http.StatusOK, o.status)
	require.True(t, o.body == content)
}

// heapInUse returns the size of the objects that are in use.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
