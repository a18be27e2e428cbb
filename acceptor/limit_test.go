package acceptor

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

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
