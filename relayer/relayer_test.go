package relayer_test

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
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
	"celeryvalve/quarantiner"
	"celeryvalve/reader"
	"celeryvalve/relayer"
)

// memory is the budget of buffered bytes of an entry with 184 MB, the least in the deployments.
const memory = 46_000_000

// dialect uses the names of the fields as header names.
type dialect struct{}

func (dialect) ReadCaller(h http.Header) relayer.CallerHeader {
	return relayer.CallerHeader{Attempt: identifier.AttemptID(h.Get("Attempt")), Key: h.Get("Key"), Remaining: 5 * time.Second}
}

func (dialect) WriteUpstream(h http.Header, u relayer.UpstreamHeader) {
	h.Del("Key")
	h.Set("Target", string(u.Target))
	h.Set("Organisation", string(u.Organisation))
	if u.LastEvent != "" {
		h.Set("Last-Event", u.LastEvent)
	}
}

func (dialect) ReadAnswer(_ int, h http.Header) relayer.ResponseHeader {
	rest, _ := time.ParseDuration(h.Get("Rest"))
	return relayer.ResponseHeader{
		Attempt:     identifier.AttemptID(h.Get("Attempt")),
		NotExecuted: h.Get("Not-Executed") != "",
		Signed:      h.Get("Signature") != "",
		Rest:        rest,
		Leaving:     h.Get("Leaving") != "",
	}
}

func (dialect) WriteOwn(h http.Header, _ identifier.AttemptID, retryAfter time.Duration) {
	h.Set("Own", "yes")
	if retryAfter > 0 {
		h.Set("Retry-After", fmt.Sprint(retryAfter.Seconds()))
	}
}

// noReports drops reports on crashes.
type noReports struct{}

func (noReports) ReportCrash(balancer.CrashReport) {}
func (noReports) ClearSuspects([]quarantiner.Fingerprint, []quarantiner.Fingerprint) {
}
func (noReports) RecordLimit(identifier.Upstream, identifier.Incarnation, limiter.RequestLimit) {
}
func (noReports) RecordLeaving(identifier.Upstream, identifier.Incarnation) {}

// script handles one request that a fake upstream reads from a connection.
type script func(conn net.Conn, r *http.Request)

// fakeUpstream runs a script for each request that it reads.
type fakeUpstream struct {
	listener net.Listener
	mu       sync.Mutex
	requests []*http.Request
}

func startUpstream(t *testing.T, s script) *fakeUpstream {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	b := &fakeUpstream{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.read(conn, s)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return b
}

func (b *fakeUpstream) read(conn net.Conn, s script) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		b.mu.Lock()
		b.requests = append(b.requests, r)
		b.mu.Unlock()
		s(conn, r)
	}
}

func (b *fakeUpstream) received() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests
}

func (b *fakeUpstream) view(name identifier.Upstream) balancer.UpstreamView {
	return balancer.UpstreamView{
		Upstream: name, Service: "booking", Slots: 8,
		Address: b.listener.Addr().(*net.TCPAddr).AddrPort(),
	}
}

// writeResponse writes a response to the request.
func writeResponse(conn net.Conn, r *http.Request, status int, header, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nAttempt: %s\r\nContent-Length: %d\r\n%s\r\n%s", status, r.Header.Get("Attempt"), len(body), header, body)
}

// signedResponse returns a script that responds with status 200, a signature and body.
func signedResponse(body string) script {
	return func(conn net.Conn, r *http.Request) { writeResponse(conn, r, 200, "Signature: s\r\n", body) }
}

func resetConnection(conn net.Conn, _ *http.Request) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// startRelayer starts a relayer with one route of the kind to the upstreams.
func startRelayer(t *testing.T, kind declarer.RequestKind, resumable bool, views ...balancer.UpstreamView) *httptest.Server {
	return startRelayerAt(t, clockwork.NewRealClock(), kind, resumable, views...)
}

func startRelayerAt(t *testing.T, clock clockwork.Clock, kind declarer.RequestKind, resumable bool, views ...balancer.UpstreamView) *httptest.Server {
	server, _ := startWithHomes(t, clock, kind, resumable, views...)
	return server
}

// startWithHomes also returns a function that declares the homes of the route.
func startWithHomes(t *testing.T, clock clockwork.Clock, kind declarer.RequestKind, resumable bool, views ...balancer.UpstreamView) (*httptest.Server, func(...identifier.Region)) {
	reducer := balancer.New(balancer.Config{RetryRatio: 0.2, RetryBurst: 10})
	r := relayer.New(reducer, dialect{}, noReports{}, noReports{}, reader.NewBudget(memory), clock, metrics.NewSet(), zap.NewNop(), 1)
	d := declarer.Declaration{
		Version:  1,
		Services: map[identifier.Service]declarer.Service{"booking": {}},
		Routes: map[identifier.Route]declarer.Route{"slots": {
			Host: "a.example", Prefix: "/slots/", Kind: kind, Resumable: resumable, Timeout: 3 * time.Second, MaximumAttempts: 2,
			Targets: []declarer.Target{{Service: "booking", Weight: 1}},
		}},
		Organisations: map[identifier.Organisation]declarer.Organisation{"hall": {Keys: []identifier.Digest{identifier.DigestOf([]byte("k"))}}},
	}
	declare := func(homes ...identifier.Region) {
		route := d.Routes["slots"]
		route.Homes = homes
		d.Version++
		d.Routes = map[identifier.Route]declarer.Route{"slots": route}
		r.Declare(declarer.NewIndex(d), []balancer.ServicePolicy{{Service: "booking"}})
	}
	declare()
	r.ChangeUpstreams(views)
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	t.Cleanup(r.Stop)
	return server, declare
}

func request(t *testing.T, server *httptest.Server, path string) *http.Request {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+path, strings.NewReader("body"))
	require.NoError(t, err)
	r.Host = "a.example"
	r.Header.Set("Attempt", "a1")
	r.Header.Set("Key", "k")
	return r
}

func send(t *testing.T, server *httptest.Server) (*http.Response, string) {
	response, err := http.DefaultClient.Do(request(t, server, "/slots/1"))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	b := startUpstream(t, signedResponse("booked"))
	response, body := send(t, startRelayer(t, declarer.NonIdempotent, false, b.view("u")))
	require.Equal(t, 200, response.StatusCode)
	require.Equal(t, "s", response.Header.Get("Signature"))
	require.Equal(t, "booked", body)
	r := b.received()[0]
	require.Equal(t, "/slots/1", r.URL.Path)
	require.Equal(t, "a.example", r.Host)
	require.Equal(t, "u", r.Header.Get("Target"))
	require.Equal(t, "hall", r.Header.Get("Organisation"))
	require.Empty(t, r.Header.Get("Key"), "the key must not reach the upstream")
}

func TestOwnAnswers(t *testing.T) {
	server := startRelayer(t, declarer.Idempotent, false)
	cases := map[string]struct {
		modify func(r *http.Request)
		status int
	}{
		"no route":    {func(r *http.Request) { r.Host = "b.example" }, 404},
		"unknown key": {func(r *http.Request) { r.Header.Set("Key", "other") }, 401},
		"no id":       {func(r *http.Request) { r.Header.Del("Attempt") }, 400},
		"no upstream": {func(*http.Request) {}, 503},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := request(t, server, "/slots/1")
			c.modify(r)
			response, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, c.status, response.StatusCode)
			require.Equal(t, c.status == 503, response.Header.Get("Retry-After") != "")
		})
	}
}

// Guards against a caller that gets a wrong or truncated response, and against a
// second attempt of a request that may have run and must not run twice.
func TestFaultyUpstreams(t *testing.T) {
	earlierResponseFirst := func(conn net.Conn, r *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt: a0\r\nSignature: s\r\nContent-Length: 5\r\n\r\nother")
		writeResponse(conn, r, 200, "Signature: s\r\n", "right")
	}
	truncated := func(conn net.Conn, r *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nSignature: s\r\nContent-Length: 50\r\n\r\nhalf", r.Header.Get("Attempt"))
		_ = conn.Close()
	}
	unframed := func(conn net.Conn, r *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nSignature: s\r\nConnection: close\r\n\r\nright", r.Header.Get("Attempt"))
		_ = conn.Close()
	}
	noise := func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "\x00\x01 no answer at all\r\n\r\n")
		_ = conn.Close()
	}
	unsigned := func(conn net.Conn, r *http.Request) { writeResponse(conn, r, 200, "", "right") }
	executedWith503 := func(conn net.Conn, r *http.Request) { writeResponse(conn, r, 503, "Signature: s\r\n", "ran") }
	rejected := func(conn net.Conn, r *http.Request) { writeResponse(conn, r, 503, "Not-Executed: 1\r\n", "") }
	cases := []struct {
		name    string
		kind    declarer.RequestKind
		script  script
		status  int
		retried bool // whether another upstream gets the request too
	}{
		{"an answer to another request comes first", declarer.NonIdempotent, earlierResponseFirst, 200, false},
		{"an answer that ends with its connection", declarer.NonIdempotent, unframed, 200, false},
		{"a cut answer, once", declarer.NonIdempotent, truncated, 502, false},
		{"a cut answer, repeatable", declarer.Idempotent, truncated, 200, true},
		{"a reset, once", declarer.NonIdempotent, resetConnection, 502, false},
		{"a reset, repeatable", declarer.Idempotent, resetConnection, 200, true},
		{"bytes that are no answer, once", declarer.NonIdempotent, noise, 502, false},
		{"a success without proof, once", declarer.NonIdempotent, unsigned, 502, false},
		{"a rejection, once", declarer.NonIdempotent, rejected, 200, true},
		{"ran, and says 503", declarer.NonIdempotent, executedWith503, 502, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			faulty, healthy := startUpstream(t, c.script), startUpstream(t, signedResponse("right"))
			first, second := faulty.view("a"), healthy.view("b")
			second.Region = "far" // so that the faulty upstream is chosen first
			response, body := send(t, startRelayer(t, c.kind, false, first, second))
			require.Equal(t, c.status, response.StatusCode)
			require.Len(t, faulty.received(), 1)
			require.Equal(t, c.retried, len(healthy.received()) == 1)
			if c.status == 200 {
				require.Equal(t, "right", body)
			} else {
				require.Empty(t, response.Header.Get("Signature"), "an error response of the relayer carries no signature")
			}
		})
	}
}

// Guards against a refusal that a caller gets only after it has sent its whole body.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	server := startRelayer(t, declarer.Idempotent, false)
	reader, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	r := request(t, server, "/nowhere/1")
	r.Body, r.ContentLength = io.NopCloser(io.MultiReader(strings.NewReader("x"), reader)), -1
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusNotFound, response.StatusCode)
}

// Guards against an extra answer that arrives on a connection when the next one is
// expected, also if the caller uses its attempt id again.
func TestExtraAnswerIsNotTakenForTheNext(t *testing.T) {
	b := startUpstream(t, func(conn net.Conn, r *http.Request) {
		writeResponse(conn, r, 200, "Signature: s\r\n", "right")
		writeResponse(conn, r, 200, "Signature: s\r\n", "again")
	})
	server := startRelayer(t, declarer.Idempotent, false, b.view("u"))
	for range 3 {
		_, body := send(t, server)
		require.Equal(t, "right", body)
	}
}

// The same with an extra answer that surely comes after the next request was sent.
func TestLateExtraAnswerIsNotTakenForTheNext(t *testing.T) {
	for _, sameID := range []bool{false, true} {
		earlier := make(map[net.Conn]string) // the attempt that the connection carried last
		var mu sync.Mutex
		b := startUpstream(t, func(conn net.Conn, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if id, ok := earlier[conn]; ok {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: 5\r\nSignature: s\r\n\r\nagain", id)
			}
			earlier[conn] = r.Header.Get("Attempt")
			writeResponse(conn, r, 200, "Signature: s\r\n", "right")
		})
		server := startRelayer(t, declarer.Idempotent, false, b.view("u"))
		for i := range 6 {
			r := request(t, server, "/slots/1")
			if !sameID {
				r.Header.Set("Attempt", fmt.Sprint("a", i))
			}
			response, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, "right", string(body))
		}
	}
}

func event(id int) string {
	return fmt.Sprintf("id: %d\ndata: part %d\n\n", id, id)
}

// writeStream responds with the events. It then ends the stream, or closes the
// connection within the stream if complete is false.
func writeStream(conn net.Conn, r *http.Request, complete bool, events ...string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nSignature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Attempt"))
	for _, e := range events {
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(e), e)
	}
	if complete {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return
	}
	_ = conn.Close()
}

func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	faulty := startUpstream(t, func(conn net.Conn, r *http.Request) {
		writeStream(conn, r, false, event(1), event(2), "id: 3\ndata: half")
	})
	healthy := startUpstream(t, func(conn net.Conn, r *http.Request) {
		require.Equal(t, "2", r.Header.Get("Last-Event"))
		writeStream(conn, r, true, event(3), event(4))
	})
	first, second := faulty.view("a"), healthy.view("b")
	second.Region = "far"
	response, body := send(t, startRelayer(t, declarer.Streaming, true, first, second))
	require.Equal(t, 200, response.StatusCode)
	require.Equal(t, event(1)+event(2)+event(3)+event(4), body)
}

// Guards against a resumed stream, or another retry, that leaves homes which were declared
// while the first attempt ran.
func TestRetryKeepsToHomesDeclaredMeanwhile(t *testing.T) {
	for name, kind := range map[string]declarer.RequestKind{"a stream": declarer.Streaming, "an idempotent request": declarer.Idempotent} {
		t.Run(name, func(t *testing.T) {
			var declare func(...identifier.Region)
			faulty := startUpstream(t, func(conn net.Conn, r *http.Request) {
				declare("near")
				if kind == declarer.Streaming {
					writeStream(conn, r, false, event(1))
					return
				}
				resetConnection(conn, r)
			})
			healthy := startUpstream(t, signedResponse("never"))
			first, second := faulty.view("a"), healthy.view("b")
			first.Region, second.Region, second.Stale = "near", "far", true
			var server *httptest.Server
			server, declare = startWithHomes(t, clockwork.NewRealClock(), kind, true, first, second)
			response, err := http.DefaultClient.Do(request(t, server, "/slots/1"))
			if err == nil {
				_, _ = io.ReadAll(response.Body)
				require.NoError(t, response.Body.Close())
			}
			require.Len(t, faulty.received(), 1)
			require.Empty(t, healthy.received())
		})
	}
}

func TestBrokenStreamDoesNotLookWhole(t *testing.T) {
	faulty := startUpstream(t, func(conn net.Conn, r *http.Request) { writeStream(conn, r, false, event(1)) })
	healthy := startUpstream(t, signedResponse("never"))
	first, second := faulty.view("a"), healthy.view("b")
	second.Region = "far"
	server := startRelayer(t, declarer.Streaming, false, first, second)
	response, err := http.DefaultClient.Do(request(t, server, "/slots/1"))
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.Error(t, err)
	require.NoError(t, response.Body.Close())
	require.Empty(t, healthy.received(), "the request must not run twice")
}

func TestUpstreamIsLeftWithItsCaller(t *testing.T) {
	gone := make(chan struct{})
	b := startUpstream(t, func(conn net.Conn, _ *http.Request) {
		var one [1]byte
		_, _ = conn.Read(one[:]) // returns when the relayer closes the connection
		close(gone)
	})
	server := startRelayer(t, declarer.Idempotent, false, b.view("u"))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		r := request(t, server, "/slots/1").WithContext(ctx)
		if response, err := http.DefaultClient.Do(r); err == nil {
			_ = response.Body.Close()
		}
	}()
	require.Eventually(t, func() bool { return len(b.received()) == 1 }, 5*time.Second, time.Millisecond)
	cancel()
	<-gone
}

// Guards against a success that no upstream gave: a caller that ends its side of the connection and
// reads on got 200 without a body, or a stream that was cut off and looked whole (review case 2).
func TestCallerThatLeavesAndReadsOnGetsNoSuccess(t *testing.T) {
	for name, kind := range map[string]declarer.RequestKind{"a stream": declarer.Streaming, "a booking": declarer.NonIdempotent} {
		t.Run(name, func(t *testing.T) {
			left := make(chan struct{})
			b := startUpstream(t, func(conn net.Conn, r *http.Request) {
				if kind == declarer.Streaming {
					writeStreamHead(conn, r, 1000)
					_, _ = io.WriteString(conn, event(1))
				}
				_, _ = io.Copy(io.Discard, conn)
				close(left)
			})
			server := startRelayer(t, kind, false, b.view("u"))
			conn, err := net.Dial("tcp4", server.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, request(t, server, "/slots/1").Write(conn))
			reader := bufio.NewReader(conn)
			if kind == declarer.Streaming {
				_, err = reader.Peek(1) // the stream has begun
				require.NoError(t, err)
			}
			require.Eventually(t, func() bool { return len(b.received()) == 1 }, time.Minute, time.Millisecond)
			require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			<-left
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			_, err = io.Copy(io.Discard, response.Body)
			require.True(t, err != nil || response.StatusCode >= http.StatusBadRequest, "status %d, and the body looks whole", response.StatusCode)
		})
	}
}

func TestUnreachableUpstreamIsNoAttempt(t *testing.T) {
	healthy := startUpstream(t, signedResponse("right"))
	down := balancer.UpstreamView{Upstream: "a", Service: "booking", Slots: 8, Address: netip.MustParseAddrPort("127.0.0.1:1")}
	second := healthy.view("b")
	second.Region = "far"
	response, _ := send(t, startRelayer(t, declarer.NonIdempotent, false, down, second))
	require.Equal(t, 200, response.StatusCode)
}

// Guards against an upstream that sends bytes without end where an answer is due: the entry
// kept all of a head in memory until the caller's deadline. The connection is closed after a
// bounded number of bytes, and the request goes elsewhere.
func TestBytesWithoutEndAreCutOff(t *testing.T) {
	const enough = 64 << 20 // far more than any bound, and what the system buffers
	repeat := func(conn net.Conn, text string) int {
		sent := 0
		for sent < enough {
			n, err := io.WriteString(conn, text)
			sent += n
			if err != nil {
				break
			}
		}
		return sent
	}
	line := strings.Repeat("a", 1<<10)
	for name, script := range map[string]func(conn net.Conn) int{
		"a status line": func(conn net.Conn) int { return repeat(conn, line) },
		"a header line": func(conn net.Conn) int {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: ")
			return repeat(conn, line)
		},
		"header lines": func(conn net.Conn) int {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
			return repeat(conn, "X: "+line+"\r\n")
		},
		"interim answers": func(conn net.Conn) int { return repeat(conn, "HTTP/1.1 103 Early Hints\r\nX: "+line+"\r\n\r\n") },
		"a body": func(conn net.Conn) int {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt: a0\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n")
			return repeat(conn, "400\r\n"+line+"\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			faulty := startUpstream(t, func(conn net.Conn, _ *http.Request) {
				sent <- script(conn)
				_ = conn.Close()
			})
			healthy := startUpstream(t, signedResponse("right"))
			first, second := faulty.view("a"), healthy.view("b")
			second.Region = "far" // so that the faulty upstream is chosen first
			response, body := send(t, startRelayerAt(t, clockwork.NewFakeClockAt(time.Now()), declarer.Idempotent, false, first, second))
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, "right", body)
			require.Less(t, <-sent, enough, "the connection is closed")
		})
	}
}

// Guards against a second answer that is taken for the next one after answers that end in
// unusual ways: after an interim answer, to a HEAD, and one that came before the request was
// whole. The attempts share an id, so that only the connection tells the answers apart.
func TestSecondAnswerAfterAnUnusualOneIsNotTakenForTheNext(t *testing.T) {
	second := func(conn net.Conn, r *http.Request) {
		writeResponse(conn, r, 200, "Signature: s\r\n", "again")
	}
	interim := func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n")
		writeResponse(conn, r, 200, "Signature: s\r\n", "right")
		second(conn, r)
	}
	head := func(conn net.Conn, r *http.Request) {
		writeResponse(conn, r, 200, "Signature: s\r\n", "right") // with a body, which an answer to HEAD must not have
		if r.Method == http.MethodHead {
			second(conn, r)
		}
	}
	for name, c := range map[string]struct {
		script script
		method string
	}{
		"interim": {interim, http.MethodPost},
		"head":    {head, http.MethodHead},
	} {
		t.Run(name, func(t *testing.T) {
			b := startUpstream(t, c.script)
			server := startRelayer(t, declarer.Idempotent, false, b.view("u"))
			for range 4 {
				unusual := request(t, server, "/slots/1")
				unusual.Method = c.method
				response, err := http.DefaultClient.Do(unusual)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				_, body := send(t, server)
				require.Equal(t, "right", body)
			}
		})
	}
}

// The same with an answer that comes before the request is whole: the rest of the request
// must not be read as another one, nor the next answer be another request's.
func TestAnswerBeforeTheRequestIsWhole(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	b := &fakeUpstream{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					// Answered from the head alone. The body is read afterwards.
					writeResponse(conn, r, 200, "Signature: s\r\n", r.Header.Get("Wants"))
					_, _ = io.Copy(io.Discard, r.Body)
				}
			}()
		}
	}()
	server := startRelayer(t, declarer.Idempotent, false, b.view("u"))
	for i := range 6 {
		r := request(t, server, "/slots/1")
		r.Header.Set("Attempt", fmt.Sprint("a", i))
		r.Header.Set("Wants", fmt.Sprint("answer ", i))
		r.Body = io.NopCloser(strings.NewReader(strings.Repeat("b", 1<<20)))
		r.ContentLength = 1 << 20
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, 200, response.StatusCode)
		require.Equal(t, fmt.Sprint("answer ", i), string(body))
	}
}

// Guards against a stream that a comment now and then keeps open for ever, although no event
// comes: it ends at the route's timeout.
func TestStreamOfCommentsEndsAtItsTimeout(t *testing.T) {
	ended := make(chan struct{})
	b := startUpstream(t, func(conn net.Conn, r *http.Request) {
		defer close(ended)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nSignature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Attempt"))
		for {
			if _, err := io.WriteString(conn, "3\r\n:\n\n\r\n"); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	server := startRelayer(t, declarer.Streaming, false, b.view("u"))
	response, err := http.DefaultClient.Do(request(t, server, "/slots/1"))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	require.True(t, err != nil || response.StatusCode >= http.StatusInternalServerError, "it must not look complete")
	<-ended
}
