package executor_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/identifier"
	"celeryvalve/router"
)

func TestCallerThatLeavesCancelsItsIdempotentWork(t *testing.T) {
	b := newBench(t)
	started, cancelled := make(chan bool, 1), make(chan bool, 1)
	b.add("u1", func(w http.ResponseWriter, r *http.Request) {
		started <- true
		<-r.Context().Done()
		cancelled <- true
	})
	ctx, cancel := context.WithCancel(t.Context())
	go b.send(ctx, http.MethodGet, "/x", nil)
	<-started
	cancel()
	<-cancelled
	require.Eventually(t, func() bool { return b.entry.Pending() == 0 }, waitTime, pollTime)
}

func TestCallerThatLeavesDoesNotCancelNonIdempotentWork(t *testing.T) {
	b := newBench(t)
	started, finish := make(chan bool, 1), make(chan bool)
	var runs atomic.Int32
	b.add("u1", func(w http.ResponseWriter, r *http.Request) {
		started <- true
		select {
		case <-finish:
			_, _ = fmt.Fprintf(w, "slot %d", runs.Add(1))
		case <-r.Context().Done():
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	go b.send(ctx, http.MethodPost, "/slots", strings.NewReader("x"), "Idempotency-Key", "k")
	<-started
	cancel()
	require.Eventually(t, func() bool { return b.entry.Pending() == 0 }, waitTime, pollTime)
	resend := make(chan answer, 1)
	go func() {
		resend <- b.send(t.Context(), http.MethodPost, "/slots", strings.NewReader("x"), "Idempotency-Key", "k")
	}()
	close(finish)
	got := <-resend
	require.Equal(t, "slot 1", got.body)
	require.Equal(t, router.Completed, got.outcome)
	require.Equal(t, int32(1), runs.Load())
}

func TestLostUpstreamMakesNonIdempotentUnknownAndIdempotentGoesElsewhere(t *testing.T) {
	b := newBench(t)
	abort := func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }
	b.add("u1", abort)
	first := b.send(t.Context(), http.MethodPost, "/slots", strings.NewReader("x"), "Idempotency-Key", "k")
	require.Equal(t, router.Unknown, first.outcome)
	require.Equal(t, http.StatusBadGateway, first.status)
	b.add("u2", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "u2") })
	again := b.send(t.Context(), http.MethodPost, "/slots", strings.NewReader("x"), "Idempotency-Key", "k")
	require.Equal(t, router.Unknown, again.outcome, "it is never run again")
	for range 5 {
		got := b.send(t.Context(), http.MethodGet, "/read", nil)
		require.Equal(t, "u2", got.body)
	}
}

func TestUpstreamThatIsDownNeverRan(t *testing.T) {
	b := newBench(t)
	srv := b.add("u1", func(w http.ResponseWriter, r *http.Request) {})
	srv.Close()
	got := b.send(t.Context(), http.MethodPost, "/slots", strings.NewReader("x"), "Celeryvalve-Deadline", "1s")
	require.Equal(t, router.NotRun, got.outcome, "%+v", got)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// hold adds an upstream that has begun to answer a request, and ends it once finish
// is closed.
func (b *bench) hold(t *testing.T, upstream identifier.Upstream) (running chan answer, finish chan bool) {
	started, finish := make(chan bool, 1), make(chan bool)
	b.add(upstream, func(w http.ResponseWriter, _ *http.Request) {
		started <- true
		<-finish
		_, _ = io.WriteString(w, "whole")
	})
	running = make(chan answer, 1)
	go func() { running <- b.send(t.Context(), http.MethodGet, "/x", nil) }()
	<-started
	return running, finish
}

func TestLeavingAgentFinishesWhatRuns(t *testing.T) {
	b := newBench(t)
	running, finish := b.hold(t, "u1")
	drained := make(chan error, 1)
	go func() { drained <- b.agents["u1"].Drain(t.Context()) }()
	require.Eventually(t, func() bool { return !b.agents["u1"].Ready() }, waitTime, pollTime)
	refused := b.send(t.Context(), http.MethodGet, "/x", nil, "Celeryvalve-Deadline", "500ms")
	require.Equal(t, router.NotRun, refused.outcome)
	select {
	case err := <-drained:
		t.Fatal("drained while a request runs", err)
	default:
	}
	close(finish)
	require.Equal(t, "whole", (<-running).body)
	require.NoError(t, <-drained)
}

func TestDrainingEntryAnswersTheLastRequest(t *testing.T) {
	b := newBench(t)
	running, finish := b.hold(t, "u1")
	drained := make(chan error, 1)
	go func() { drained <- b.entry.Drain(t.Context()) }()
	require.Eventually(t, func() bool {
		return b.send(t.Context(), http.MethodGet, "/x", nil).outcome == router.NotRun
	}, waitTime, pollTime)
	close(finish)
	require.Equal(t, "whole", (<-running).body)
	require.NoError(t, <-drained)
}

func TestRequestsThatBreakTheBounds(t *testing.T) {
	b := newBench(t)
	b.add("u1", func(w http.ResponseWriter, r *http.Request) { panic("must not run") })
	pipe, hold := io.Pipe()
	go b.send(t.Context(), http.MethodPost, "/slots", pipe)
	_, err := hold.Write([]byte("x"))
	require.NoError(t, err)
	var crowded answer
	require.Eventually(t, func() bool {
		crowded = b.send(t.Context(), http.MethodPost, "/slots", io.MultiReader(strings.NewReader("x")), "Celeryvalve-Deadline", "1ms")
		return crowded.status == http.StatusServiceUnavailable && crowded.header.Get("Celeryvalve-Request") == ""
	}, waitTime, pollTime)
	require.NoError(t, hold.CloseWithError(io.ErrUnexpectedEOF))
	require.Eventually(t, func() bool {
		return b.send(t.Context(), http.MethodPut, "/slots", nil, "Celeryvalve-Deadline", "soon").status == http.StatusBadRequest
	}, waitTime, pollTime)
	large := b.send(t.Context(), http.MethodPost, "/slots", strings.NewReader(strings.Repeat("x", 1<<20+1)))
	require.Equal(t, http.StatusRequestEntityTooLarge, large.status)
	chunked := b.send(t.Context(), http.MethodPost, "/slots", io.MultiReader(strings.NewReader(strings.Repeat("x", 1<<20+1))))
	require.Equal(t, http.StatusRequestEntityTooLarge, chunked.status)
	malformed := b.send(t.Context(), http.MethodGet, "/x", nil, "Celeryvalve-Deadline", "soon")
	require.Equal(t, http.StatusBadRequest, malformed.status)
	denied := b.send(t.Context(), http.MethodGet, "/x", nil, "Authorization", "Bearer wrong")
	require.Equal(t, http.StatusUnauthorized, denied.status)
	for _, got := range []answer{crowded, large, chunked, malformed, denied} {
		require.Equal(t, router.NotRun, got.outcome)
	}
}

func TestExpectContinueIsAnsweredOnlyWhereTheBodyIsRead(t *testing.T) {
	b := newBench(t)
	b.add("u1", func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	exchange := func(token string) string {
		conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "POST /booking/echo HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", token)
		line := make([]byte, len("HTTP/1.1 100"))
		_, err = io.ReadFull(conn, line)
		require.NoError(t, err)
		return string(line)
	}
	require.Equal(t, "HTTP/1.1 100", exchange("secret"))
	require.Equal(t, "HTTP/1.1 401", exchange("wrong"))
}

func TestHugeAnswerIsHeldBackByASlowCaller(t *testing.T) {
	b := newBench(t)
	var written atomic.Int64
	const size = 64 << 20
	b.add("u1", func(w http.ResponseWriter, r *http.Request) {
		block := make([]byte, 64<<10)
		for range size / len(block) {
			n, err := w.Write(block)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, b.url+"/booking/x", nil)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	last := int64(-1)
	require.Eventually(t, func() bool {
		now := written.Load()
		still := now == last
		last = now
		return still
	}, waitTime, 200*time.Millisecond)
	require.Less(t, written.Load(), int64(size), "the upstream is held back")
	n, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.Equal(t, int64(size), n)
}

func TestTwoSendsOfOneKeyRunOnce(t *testing.T) {
	b := newBench(t)
	var runs atomic.Int32
	for i := range 3 {
		b.add(identifier.Upstream(fmt.Sprintf("u%d", i)), func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			_, _ = fmt.Fprintf(w, "slot %d", runs.Add(1))
		})
	}
	answers := make(chan answer, 10)
	for range cap(answers) {
		go func() {
			answers <- b.send(t.Context(), http.MethodPost, "/slots", strings.NewReader("x"), "Idempotency-Key", "k")
		}()
	}
	for range cap(answers) {
		got := <-answers
		require.Equal(t, "slot 1", got.body, "%+v", got)
	}
	require.Equal(t, int32(1), runs.Load())
}

// restartable is an upstream on a fixed address whose process can end and come back.
type restartable struct {
	b    *bench
	addr string
	srv  atomic.Pointer[http.Server]
}

func (u *restartable) start(h http.HandlerFunc) {
	listener, err := net.Listen("tcp", u.addr)
	require.NoError(u.b.t, err)
	srv := &http.Server{Handler: h}
	u.srv.Store(srv)
	go func() { _ = srv.Serve(listener) }()
}

func TestRequestThatKillsSparesTheLastUpstream(t *testing.T) {
	b := newBench(t)
	var crashes atomic.Int32
	upstreams := make(map[identifier.Upstream]*restartable)
	handlerOf := func(name identifier.Upstream) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/poison" {
				crashes.Add(1)
				_ = upstreams[name].srv.Load().Close()
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "ok")
		}
	}
	for _, name := range []identifier.Upstream{"u1", "u2"} {
		srv := b.add(name, handlerOf(name))
		upstreams[name] = &restartable{b: b, addr: srv.Listener.Addr().String()}
		upstreams[name].srv.Store(srv.Config)
	}
	readies := func() (list []identifier.Upstream) {
		for name, x := range b.agents {
			if x.Ready() {
				list = append(list, name)
			}
		}
		return list
	}
	first := b.send(t.Context(), http.MethodGet, "/poison", nil)
	require.Equal(t, router.Unknown, first.outcome)
	again := b.send(t.Context(), http.MethodGet, "/poison", nil)
	require.Equal(t, router.NotRun, again.outcome, "it is held back while one upstream is left")
	require.Equal(t, int32(1), crashes.Load())
	require.Equal(t, "ok", b.send(t.Context(), http.MethodGet, "/x", nil).body)

	for name, u := range upstreams {
		if !b.agents[name].Ready() {
			u.start(handlerOf(name))
		}
	}
	require.Eventually(t, func() bool { return len(readies()) == 2 }, waitTime, pollTime)
	down := slices.Clone(b.views)
	down[0].Ready, down[1].Ready = false, false
	b.entry.ChangeUpstreams(down)
	b.entry.ChangeUpstreams(b.views)
	var last answer
	require.Eventually(t, func() bool {
		last = b.send(t.Context(), http.MethodGet, "/poison", nil)
		return last.header.Get("Celeryvalve-Cause") == string(router.Quarantined)
	}, waitTime, pollTime)
	require.Equal(t, int32(2), crashes.Load(), "it ran alone once more and is refused")
	require.Len(t, readies(), 1)
	require.Equal(t, "ok", b.send(t.Context(), http.MethodGet, "/x", nil).body)
}

func TestAttemptIsSentOnceOnAReusedConnection(t *testing.T) {
	b := newBench(t)
	var aborted atomic.Int32
	var srv *http.Server
	u := b.add("u1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/abort" {
			aborted.Add(1)
			_ = srv.Close()
			panic(http.ErrAbortHandler)
		}
	})
	srv = u.Config
	require.Equal(t, router.Completed, b.send(t.Context(), http.MethodGet, "/warm", nil).outcome)
	got := b.send(t.Context(), http.MethodGet, "/abort", nil)
	require.Equal(t, router.Unknown, got.outcome, "it ran, so NotRun would be false")
	require.Equal(t, int32(1), aborted.Load())
}
