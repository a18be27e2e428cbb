package executor_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/router"
)

// hijack answers a request with raw bytes and closes the connection.
func hijack(w http.ResponseWriter, answer string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, answer)
	_ = conn.Close()
}

// Guards against answers of upstreams in trouble that callers get as answers, or none at all
// since the entry panics (status 000).
func TestAnswerThatIsNoneOfHTTPIsNotPassedOn(t *testing.T) {
	c := newTestCluster(t)
	c.add("u1", func(w http.ResponseWriter, r *http.Request) {
		named := "X-Attempt-Id: " + r.Header.Get("X-Attempt-Id") + "\r\n"
		status, lines, _ := strings.Cut(r.URL.Query().Get("answer"), "|")
		if status == "reset" {
			hijack(w, "HTTP/1.1 200 X\r\n"+named+"\r\npart") // the body is not read
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		hijack(w, fmt.Sprintf("HTTP/1.1 %s X\r\n%s%sContent-Length: 5\r\n\r\nright", status, named, lines))
	})
	for _, answer := range []string{"000", "099", "101", "600", "200|X+Y:+1%0d%0a", "200|Content-Length+:+5%0d%0a", "reset"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			got := c.send(t.Context(), method, "/slots?answer="+answer, strings.NewReader(strings.Repeat("x", 512<<10)),
				"Idempotency-Key", method+answer)
			require.NoError(t, got.err, "%s %s", method, answer)
			require.NotEqual(t, router.Completed, got.outcome, "%s %s", method, answer)
			require.NotContains(t, got.body, "right")
		}
	}
	got := c.send(t.Context(), http.MethodPost, "/slots?answer=200|", strings.NewReader("x"), "Idempotency-Key", "sound")
	require.Equal(t, "right", got.body)
}
