package executor_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/identifier"
	"celeryvalve/router"
)

func TestCallerThatLeavesCancelsItsIdempotentWork(t *testing.T) {
	c := newTestCluster(t)
	started, cancelled := make(chan bool, 1), make(chan bool, 1)
	c.add("u1", func(w http.ResponseWriter, r *http.Request) {
		started <- true
		<-r.Context().Done()
		cancelled <- true
	})
	ctx, cancel := context.WithCancel(t.Context())
	go c.send(ctx, http.MethodGet, "/x", nil)
	<-started
	cancel()
	<-cancelled
	require.Eventually(t, func() bool { return c.entry.Pending() == 0 }, waitTimeout, pollInterval)
}

func TestCallerThatLeavesDoesNotCancelNonIdempotentWork(t *testing.T) {
	c := newTestCluster(t)
	started, finish := make(chan bool, 1), make(chan bool)
	var runs atomic.Int32
	c.add("u1", func(w http.ResponseWriter, r *http.Request) {
		started <- true
		select {
		case <-finish:
			_, _ = fmt.Fprintf(w, "slot %d", runs.Add(1))
		case <-r.Context().Done():
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	go c.send(ctx, http.MethodPost, "/slots", strings.NewReader("x"), "Idempotency-Key", "k")
	<-started
	cancel()
	require.Eventually(t, func() bool { return c.entry.Pending() == 0 }, waitTimeout, pollInterval)
	resend := make(chan answer, 1)
	go func() {
		resend <- c.send(t.Context(), http.MethodPost, "/slots", strings.NewReader("x"), "Idempotency-Key", "k")
	}()
	close(finish)
	got := <-resend
	require.Equal(t, "slot 1", got.body)
	require.Equal(t, router.Completed, got.outcome)
	require.Equal(t, int32(1), runs.Load())
}

// Guards against a request whose answer is lost since its upstream is silent for longer than the
// progress timeout, though there is time left and nobody else answers.
func TestSilenceEndsNoRequestBeforeItsDeadline(t *testing.T) {
	const progressTimeout = 50 * time.Millisecond
	c := newTestCluster(t)
	ended := make(chan bool, 16)
	c.addWithTimeout("u1", progressTimeout, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hangs" {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			ended <- true
			return
		}
		time.Sleep(4 * progressTimeout)
		_, _ = io.WriteString(w, "data: 1\n\n")
		w.(http.Flusher).Flush()
		time.Sleep(4 * progressTimeout)
		_, _ = io.WriteString(w, "data: 2\n\n")
	})
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		got := c.send(t.Context(), method, "/slots", nil)
		require.NoError(t, got.err)
		require.Equal(t, router.Completed, got.outcome)
		require.Equal(t, "data: 1\n\ndata: 2\n\n", got.body)
	}
	deadline := 500 * time.Millisecond
	require.Eventually(t, func() bool {
		got := c.send(t.Context(), http.MethodPost, "/hangs", strings.NewReader("x"), "Celeryvalve-Deadline", deadline.String())
		deadline *= 2 // the machine may be too slow for a request to run within it
		return got.outcome == router.Unknown
	}, waitTimeout, pollInterval, "a request runs")
	<-ended // the upstream is left once the deadline has passed
}

func TestLostUpstreamMakesNonIdempotentUnknownAndIdempotentGoesElsewhere(t *testing.T) {
	c := newTestCluster(t)
	abort := func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }
	c.add("u1", abort)
	first := c.send(t.Context(), http.MethodPost, "/slots", strings.NewReader("x"), "Idempotency-Key", "k")
	require.Equal(t, router.Unknown, first.outcome)
	require.Equal(t, http.StatusBadGateway, first.status)
	c.add("u2", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "u2") })
	again := c.send(t.Context(), http.MethodPost, "/slots", strings.NewReader("x"), "Idempotency-Key", "k")
	require.Equal(t, router.Unknown, again.outcome, "the key must not run again")
	for range 5 {
		got := c.send(t.Context(), http.MethodGet, "/read", nil)
		require.Equal(t, "u2", got.body)
	}
}

func TestUpstreamThatIsDownNeverRan(t *testing.T) {
	c := newTestCluster(t)
	srv := c.add("u1", func(w http.ResponseWriter, r *http.Request) {})
	srv.Close()
	got := c.send(t.Context(), http.MethodPost, "/slots", strings.NewReader("x"), "Celeryvalve-Deadline", "1s")
	require.Equal(t, router.NotRun, got.outcome, "%+v", got)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// addHeld adds an upstream and sends a request to it. The upstream does not respond until
// finish is closed.
func (c *testCluster) addHeld(t *testing.T, upstream identifier.Upstream) (running chan answer, finish chan bool) {
	started, finish := make(chan bool, 1), make(chan bool)
	c.add(upstream, func(w http.ResponseWriter, _ *http.Request) {
		started <- true
		<-finish
		_, _ = io.WriteString(w, "whole")
	})
	running = make(chan answer, 1)
	go func() { running <- c.send(t.Context(), http.MethodGet, "/x", nil) }()
	<-started
	return running, finish
}

func TestLeavingAgentFinishesWhatRuns(t *testing.T) {
	c := newTestCluster(t)
	running, finish := c.addHeld(t, "u1")
	drained := make(chan error, 1)
	go func() { drained <- c.agents["u1"].Drain(t.Context()) }()
	require.Eventually(t, func() bool { return !c.agents["u1"].Ready() }, waitTimeout, pollInterval)
	refused := c.send(t.Context(), http.MethodGet, "/x", nil, "Celeryvalve-Deadline", "500ms")
	require.Equal(t, router.NotRun, refused.outcome)
	select {
	case err := <-drained:
		t.Fatal("drained while a request was still running", err)
	default:
	}
	close(finish)
	require.Equal(t, "whole", (<-running).body)
	require.NoError(t, <-drained)
}

func TestDrainingEntryAnswersTheLastRequest(t *testing.T) {
	c := newTestCluster(t)
	running, finish := c.addHeld(t, "u1")
	drained := make(chan error, 1)
	go func() { drained <- c.entry.Drain(t.Context()) }()
	require.Eventually(t, func() bool {
		return c.send(t.Context(), http.MethodGet, "/x", nil).outcome == router.NotRun
	}, waitTimeout, pollInterval)
	close(finish)
	require.Equal(t, "whole", (<-running).body)
	require.NoError(t, <-drained)
}

// isAnswered reports whether the entry has answered on the connection.
func isAnswered(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(pollInterval))
	n, _ := conn.Read(make([]byte, 1))
	return n > 0
}

func TestRequestsThatBreakTheBounds(t *testing.T) {
	c := newTestCluster(t)
	c.add("u1", func(w http.ResponseWriter, r *http.Request) { panic("must not run") })
	// Bodies that have come take their memory, and what is left is too little for another large one.
	const size = 900 << 10
	hold := func() net.Conn {
		holder, err := net.Dial("tcp", strings.TrimPrefix(c.url, "http://"))
		require.NoError(t, err)
		_, err = fmt.Fprintf(holder, "POST /booking/slots HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", size, strings.Repeat("x", size))
		require.NoError(t, err)
		return holder
	}
	holders := []net.Conn{hold(), hold(), hold(), hold()}
	unfinished := func() answer {
		reader, writer := io.Pipe()
		defer func() { _ = writer.Close() }()
		return c.send(t.Context(), http.MethodPost, "/slots", io.MultiReader(strings.NewReader(strings.Repeat("x", size)), reader), "Celeryvalve-Deadline", "1s")
	}
	// A refusal must not wait for the rest of the body. While bodies still come, the largest is
	// refused, which may be that of a holder: another one takes its place then.
	var crowded answer
	require.Eventually(t, func() bool {
		crowded = unfinished()
		for i, holder := range holders {
			if isAnswered(holder) {
				require.NoError(t, holder.Close())
				holders[i] = hold()
			}
		}
		return crowded.status == http.StatusServiceUnavailable
	}, waitTimeout, pollInterval)
	require.Empty(t, crowded.header.Get("Celeryvalve-Request"))
	for _, holder := range holders {
		require.NoError(t, holder.Close())
	}
	require.Eventually(t, func() bool { return unfinished().status == http.StatusRequestTimeout }, waitTimeout, pollInterval)
	large := c.send(t.Context(), http.MethodPost, "/slots", strings.NewReader(strings.Repeat("x", 1<<20+1)))
	require.Equal(t, http.StatusRequestEntityTooLarge, large.status)
	chunked := c.send(t.Context(), http.MethodPost, "/slots", io.MultiReader(strings.NewReader(strings.Repeat("x", 1<<20+1))))
	require.Equal(t, http.StatusRequestEntityTooLarge, chunked.status)
	malformed := c.send(t.Context(), http.MethodGet, "/x", nil, "Celeryvalve-Deadline", "soon")
	require.Equal(t, http.StatusBadRequest, malformed.status)
	denied := c.send(t.Context(), http.MethodGet, "/x", nil, "Authorization", "Bearer wrong")
	require.Equal(t, http.StatusUnauthorized, denied.status)
	for _, got := range []answer{crowded, large, chunked, malformed, denied} {
		require.Equal(t, router.NotRun, got.outcome)
	}
}

// Guards against a body within its limit that finds no room though no other request is there.
func TestLargestBodyFindsRoom(t *testing.T) {
	c := newTestCluster(t)
	c.add("u1", func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	})
	const size = 1 << 20
	whole := c.send(t.Context(), http.MethodPost, "/slots", io.MultiReader(strings.NewReader(strings.Repeat("x", size))))
	require.Equal(t, fmt.Sprint(size), whole.body)
}

func TestExpectContinueIsAnsweredOnlyWhereTheBodyIsRead(t *testing.T) {
	c := newTestCluster(t)
	c.add("u1", func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	exchange := func(token string) string {
		conn, err := net.Dial("tcp", strings.TrimPrefix(c.url, "http://"))
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
	c := newTestCluster(t)
	var written atomic.Int64
	const size = 64 << 20
	c.add("u1", func(w http.ResponseWriter, r *http.Request) {
		block := make([]byte, 64<<10)
		for range size / len(block) {
			n, err := w.Write(block)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, c.url+"/booking/x", nil)
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
	}, waitTimeout, 200*time.Millisecond)
	require.Less(t, written.Load(), int64(size), "backpressure must hold back the upstream")
	n, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.Equal(t, int64(size), n)
}

func TestTwoSendsOfOneKeyRunOnce(t *testing.T) {
	c := newTestCluster(t)
	var runs atomic.Int32
	for i := range 3 {
		c.add(identifier.Upstream(fmt.Sprintf("u%d", i)), func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			_, _ = fmt.Fprintf(w, "slot %d", runs.Add(1))
		})
	}
	answers := make(chan answer, 10)
	for range cap(answers) {
		go func() {
			answers <- c.send(t.Context(), http.MethodPost, "/slots", strings.NewReader("x"), "Idempotency-Key", "k")
		}()
	}
	for range cap(answers) {
		got := <-answers
		require.Equal(t, "slot 1", got.body, "%+v", got)
	}
	require.Equal(t, int32(1), runs.Load())
}

// restartable is an upstream with a fixed address that can be stopped and restarted.
type restartable struct {
	cluster *testCluster
	addr    string
	srv     atomic.Pointer[http.Server]
}

func (u *restartable) start(h http.HandlerFunc) {
	listener, err := net.Listen("tcp", u.addr)
	require.NoError(u.cluster.t, err)
	srv := &http.Server{Handler: h}
	u.srv.Store(srv)
	go func() { _ = srv.Serve(listener) }()
}

func TestRequestThatKillsSparesTheLastUpstream(t *testing.T) {
	c := newTestCluster(t)
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
		srv := c.add(name, handlerOf(name))
		upstreams[name] = &restartable{cluster: c, addr: srv.Listener.Addr().String()}
		upstreams[name].srv.Store(srv.Config)
	}
	readyUpstreams := func() (list []identifier.Upstream) {
		for name, x := range c.agents {
			if x.Ready() {
				list = append(list, name)
			}
		}
		return list
	}
	first := c.send(t.Context(), http.MethodGet, "/poison", nil)
	require.Equal(t, router.Unknown, first.outcome)
	again := c.send(t.Context(), http.MethodGet, "/poison", nil)
	require.Equal(t, router.NotRun, again.outcome, "a suspect must not run while only one upstream is left")
	require.Equal(t, int32(1), crashes.Load())
	require.Equal(t, "ok", c.send(t.Context(), http.MethodGet, "/x", nil).body)

	for name, u := range upstreams {
		if !c.agents[name].Ready() {
			u.start(handlerOf(name))
		}
	}
	require.Eventually(t, func() bool { return len(readyUpstreams()) == 2 }, waitTimeout, pollInterval)
	down := slices.Clone(c.views)
	down[0].Ready, down[1].Ready = false, false
	c.entry.ChangeUpstreams(down)
	c.entry.ChangeUpstreams(c.views)
	var last answer
	require.Eventually(t, func() bool {
		last = c.send(t.Context(), http.MethodGet, "/poison", nil)
		return last.header.Get("Celeryvalve-Cause") == string(router.Quarantined)
	}, waitTimeout, pollInterval)
	require.Equal(t, int32(2), crashes.Load(), "the suspect must run alone once more and then be refused")
	require.Len(t, readyUpstreams(), 1)
	require.Equal(t, "ok", c.send(t.Context(), http.MethodGet, "/x", nil).body)
}

func TestAttemptIsSentOnceOnAReusedConnection(t *testing.T) {
	c := newTestCluster(t)
	var aborted atomic.Int32
	var srv *http.Server
	u := c.add("u1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		if r.URL.Path == "/abort" {
			aborted.Add(1)
			_ = srv.Close()
			panic(http.ErrAbortHandler)
		}
	})
	srv = u.Config
	require.Equal(t, router.Completed, c.send(t.Context(), http.MethodGet, "/warm", nil).outcome)
	got := c.send(t.Context(), http.MethodGet, "/abort", nil)
	require.Equal(t, router.Unknown, got.outcome, "the request ran, so its outcome must not be NotRun")
	require.Equal(t, int32(1), aborted.Load())
}

// Guards against an earlier response that an upstream writes once more on a kept connection:
// its caller would get the answer to another request.
func TestEarlierResponseIsNotTakenForTheNext(t *testing.T) {
	for _, echoes := range []bool{true, false} {
		t.Run(fmt.Sprint("upstream names the attempt: ", echoes), func(t *testing.T) {
			c := newTestCluster(t)
			var mu sync.Mutex
			earlier := make(map[string]string) // by the address of the connection's other end
			c.add("u1", func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/x" {
					return // a probe
				}
				conn, _, err := w.(http.Hijacker).Hijack()
				require.NoError(t, err)
				defer func() { _ = conn.Close() }()
				respond := func(r *http.Request) {
					head := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
					if echoes {
						head += "X-Attempt-Id: " + r.Header.Get("X-Attempt-Id") + "\r\n"
					}
					response := head + "\r\n" + r.URL.RawQuery
					mu.Lock()
					_, _ = io.WriteString(conn, earlier[r.RemoteAddr]+response)
					earlier[r.RemoteAddr] = response
					mu.Unlock()
				}
				reader := bufio.NewReader(conn)
				remote := r.RemoteAddr
				for err == nil {
					respond(r)
					if r, err = http.ReadRequest(reader); err == nil {
						r.RemoteAddr = remote
					}
				}
			})
			for i := range 5 {
				want := fmt.Sprint("ask=", i)
				got := c.send(t.Context(), http.MethodGet, "/x?"+want, nil)
				if got.outcome == router.Completed {
					require.Equal(t, want, got.body)
				}
				if !echoes {
					require.Equal(t, router.Completed, got.outcome)
				}
			}
		})
	}
}

// Guards against a success, framed as whole, that is made of the beginning of a head: the
// upstream closes the connection after any of its bytes.
func TestHeadThatEndsEarlyIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n"
	c := newTestCluster(t)
	var cut atomic.Int64
	c.add("u1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/x" {
			return // a probe
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		require.NoError(t, err)
		_, _ = io.WriteString(conn, head[:cut.Load()])
		_ = conn.Close()
	})
	for n := range len(head) {
		cut.Store(int64(n))
		got := c.send(t.Context(), http.MethodPost, "/x", nil, "Idempotency-Key", fmt.Sprint("k", n))
		require.NotEqual(t, router.Completed, got.outcome, "%q", head[:n])
		require.GreaterOrEqual(t, got.status, http.StatusInternalServerError)
	}
}
