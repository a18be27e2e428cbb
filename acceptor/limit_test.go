package acceptor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// waitForOpen waits until the server has n connections that are in a phase.
func (s *testServer) waitForOpen(p Phase, n int) {
	require.Eventually(s.t, func() bool {
		s.server.connections.mu.Lock()
		defer s.server.connections.mu.Unlock()
		return s.server.connections.queues[p].Len() == n
	}, time.Minute, time.Millisecond)
}

const (
	beginning   = "GET /"
	stoppedBody = "POST /body HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nx"
)

// newFullServer returns a server that has all its connections: one for each text, which its client has
// sent. Requests of /hold are served until the test ends.
func newFullServer(t *testing.T, clock clockwork.Clock, texts []string) (*testServer, []net.Conn) {
	s := newTestServer(t, clock, len(texts), func(_ http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/hold":
			<-t.Context().Done()
		case "/body":
			end := BeginBody(r.Context())
			_, _ = io.Copy(io.Discard, r.Body)
			if end() {
				panic(http.ErrAbortHandler)
			}
		}
	})
	s.limits.Store(&Limits{HeaderTimeout: 24 * time.Hour, IdleTimeout: 24 * time.Hour})
	s.start()
	phases := map[string]Phase{"": Unused, request: Idle, beginning: Head, stoppedBody: Body}
	counts := make(map[Phase]int)
	var conns []net.Conn
	for _, text := range texts {
		conn := s.dial()
		s.write(conn, text)
		if text == request {
			require.Equal(t, http.StatusOK, s.readStatus(conn))
		}
		conns = append(conns, conn)
		require.Eventually(t, func() bool { return s.server.connections.count() == len(conns) }, time.Minute, time.Millisecond)
		if phase, ok := phases[text]; ok {
			counts[phase]++
			s.waitForOpen(phase, counts[phase])
		}
	}
	return s, conns
}

// Guards against a client that finds no room since others hold connections that they don't use.
func TestFullServerClosesTheConnectionThatIsNeededLeast(t *testing.T) {
	for name, test := range map[string]struct {
		texts []string // what the clients send, in the order of their arrival; the second is closed
		wait  time.Duration
	}{
		"idle ones first":  {texts: []string{"", request, request}},
		"then unused ones": {texts: []string{beginning, "", ""}, wait: requestWait},
		"then heads":       {texts: []string{stoppedBody, beginning, beginning}, wait: requestWait},
		"then bodies":      {texts: []string{"GET /hold HTTP/1.1\r\nHost: x\r\n\r\n", stoppedBody}, wait: requestWait},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			s, conns := newFullServer(t, clock, test.texts)
			if test.wait > 0 {
				require.True(t, isClosed(s.dial()), "those who send a request are waited for")
			}
			clock.Advance(test.wait)
			late := s.dial()
			s.write(late, request)
			require.Equal(t, http.StatusOK, s.readStatus(late))
			for i, conn := range conns {
				require.Equal(t, i == 1, isClosed(conn), "connection %d", i)
			}
		})
	}
}

// Guards against a request that is cut off for a new client.
func TestFullServerCutsOffNoRequest(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s, conns := newFullServer(t, clock, []string{"GET /hold HTTP/1.1\r\nHost: x\r\n\r\n"})
	s.waitForOpen(Unused, 0)
	s.waitForOpen(Head, 0)
	clock.Advance(time.Hour)
	require.True(t, isClosed(s.dial()), "the new client is refused")
	require.False(t, isClosed(conns[0]))
}

// Guards against connections of clients that don't read their answers and keep others out.
func TestFullServerClosesAConnectionWhoseClientDoesNotRead(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := newTestServer(t, clock, 1, func(w http.ResponseWriter, r *http.Request) {
		for err := error(nil); err == nil && r.URL.Path == "/endless"; {
			_, err = w.Write(make([]byte, 64<<10))
		}
	})
	s.start()
	s.write(s.dial(), "GET /endless HTTP/1.1\r\nHost: x\r\n\r\n")
	s.waitForOpen(Answer, 1)
	time.Sleep(100 * time.Millisecond) // until what the kernel takes is full
	clock.Advance(answerWait)
	late := s.dial()
	s.write(late, request)
	require.Equal(t, http.StatusOK, s.readStatus(late))
}

// Guards against heads that are read on beyond their limit, and against clients that don't learn why
// theirs was refused.
func TestHeadBeyondItsLimitsIsAnswered(t *testing.T) {
	lines := strings.Builder{}
	for i := range 3000 {
		fmt.Fprintf(&lines, "%x:\r\n", 0x1000+i)
	}
	for name, test := range map[string]struct {
		limit, status int
		head          string
	}{
		"too large":  {16 << 10, http.StatusRequestHeaderFieldsTooLarge, "Cookie: " + strings.Repeat("c", 900_000)},
		"no memory":  {1 << 20, http.StatusServiceUnavailable, lines.String()},
		"no newline": {1 << 20, http.StatusServiceUnavailable, "Cookie: " + strings.Repeat("c", 500_000)},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, clockwork.NewFakeClock(), 0, func(http.ResponseWriter, *http.Request) {})
			s.limits.Store(&Limits{HeaderBytes: test.limit, HeaderTimeout: time.Hour, IdleTimeout: time.Hour})
			s.start()
			if test.status == http.StatusServiceUnavailable {
				taken := s.server.cfg.Memory.Reserve()
				require.NoError(t, taken.Grow(400<<10))
			}
			conn := s.dial()
			go func() { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n"+test.head) }()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode)
			require.Equal(t, test.status == http.StatusServiceUnavailable, response.Header.Get("Retry-After") != "")
			require.Eventually(t, func() bool { return s.server.connections.count() == 0 }, time.Minute, time.Millisecond)
		})
	}
}

// Guards against heads that take memory which is not given back, and against those behind another
// request, which are read before their turn.
func TestMemoryOfHeadsIsGivenBack(t *testing.T) {
	const behind = 5
	used := make(chan int64, behind)
	var s *testServer
	s = newTestServer(t, clockwork.NewFakeClock(), 0, func(http.ResponseWriter, *http.Request) {
		used <- int64(s.server.cfg.Memory.Use().Used)
	})
	s.start()
	conn := s.dial()
	s.write(conn, strings.Repeat(request, behind))
	for range behind {
		require.Positive(t, <-used, "a head takes nothing")
	}
	require.Eventually(t, func() bool { return s.server.cfg.Memory.Use().Used == 0 }, time.Minute, time.Millisecond)
}

// Guards against requests that find no memory since the lines of bodies count as those of heads: what
// is read at once may hold both.
func TestBodyBehindAHeadTakesNoMemoryOfHeads(t *testing.T) {
	used := make(chan int64, 1)
	var s *testServer
	s = newTestServer(t, clockwork.NewFakeClock(), 0, func(http.ResponseWriter, *http.Request) {
		used <- int64(s.server.cfg.Memory.Use().Used)
	})
	s.start()
	const size = 3 << 10
	s.write(s.dial(), fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("\n", size)))
	n := <-used
	require.Positive(t, n)
	require.Less(t, n, int64(1<<10))
}

// Guards against calls that get no answer since the rest of their body, which no handler reads, does
// not come.
func TestAnswerDoesNotWaitForABodyThatIsNotRead(t *testing.T) {
	s := newTestServer(t, clockwork.NewFakeClock(), 0, AnswerPromptly(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read" {
			_, _ = io.Copy(io.Discard, r.Body)
		}
	})).ServeHTTP)
	s.start()
	stopped := s.dial()
	s.write(stopped, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nx")
	require.Equal(t, http.StatusOK, s.readStatus(stopped))
	_ = stopped.SetReadDeadline(time.Now().Add(time.Minute))
	_, err := stopped.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the connection stays open")

	kept := s.dial()
	for range 3 {
		s.write(kept, "POST /read HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
		require.Equal(t, http.StatusOK, s.readStatus(kept))
		time.Sleep(2 * unreadBodyTimeout)
	}
}
