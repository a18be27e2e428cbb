package relayer_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"celeryvalve/declarer"
)

// Guards against an earlier refusal that an upstream writes once more on a kept connection,
// however many requests that has carried since: taken for the answer to a resend under the same
// attempt id, it would say of a request that runs that it has not run.
func TestRefusalWrittenOnceMoreIsNotTakenForAnotherAnswer(t *testing.T) {
	for others := range 6 {
		t.Run(fmt.Sprint(others, " requests between"), func(t *testing.T) {
			var mu sync.Mutex
			var refusedOn net.Conn
			u := startUpstream(t, func(conn net.Conn, r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				first := refusedOn == nil
				if first {
					refusedOn = conn
				}
				if conn == refusedOn && r.Header.Get("Attempt") == "refused" {
					fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nAttempt: refused\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
				}
				if !first {
					writeResponse(conn, r, 200, "Signature: s\r\n", r.Header.Get("Attempt"))
				}
			})
			server := startRelayer(t, declarer.Idempotent, false, u.view("u"))
			ask := func(attempt string) (int, string) {
				r := request(t, server, "/slots/1")
				r.Header.Set("Attempt", attempt)
				response, err := http.DefaultClient.Do(r)
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				return response.StatusCode, string(body)
			}
			ask("refused")
			for i := range others {
				attempt := fmt.Sprint("a", i)
				status, body := ask(attempt)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, attempt, body)
			}
			before := len(u.received())
			status, body := ask("refused")
			require.Equal(t, http.StatusOK, status, "a request that ran was told not to have run")
			require.Equal(t, "refused", body)
			require.Len(t, u.received(), before+1)
		})
	}
}

// Guards against the text of an error in the middle of a stream, and against a stream that
// looks complete: the upstream that should go on with a broken one answers something else.
func TestStreamIsNotContinuedByAnError(t *testing.T) {
	cases := map[string]script{
		"an error":             func(conn net.Conn, r *http.Request) { writeResponse(conn, r, 500, "Signature: s\r\n", "error text") },
		"a refusal":            func(conn net.Conn, r *http.Request) { writeResponse(conn, r, 503, "Not-Executed: 1\r\n", "error text") },
		"an executed refusal":  func(conn net.Conn, r *http.Request) { writeResponse(conn, r, 503, "Signature: s\r\n", "error text") },
		"an answer, no stream": signedResponse("error text"),
		"an unsigned stream": func(conn net.Conn, r *http.Request) {
			writeResponse(conn, r, 200, "Content-Type: text/event-stream\r\n", "data: error text\n\n")
		},
		"an empty stream": func(conn net.Conn, r *http.Request) { writeStream(conn, r, true) },
		"half a head": func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\nContent-Type: text/ev")
			_ = conn.Close()
		},
		"a bad request": func(conn net.Conn, r *http.Request) { writeResponse(conn, r, 400, "Signature: s\r\n", "error text") },
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			broken := startUpstream(t, func(conn net.Conn, r *http.Request) { writeStream(conn, r, false, event(1), event(2)) })
			next := startUpstream(t, answer)
			first, second := broken.view("a"), next.view("b")
			second.Region = "far"
			server := startRelayer(t, declarer.Streaming, true, first, second)
			response, err := http.DefaultClient.Do(request(t, server, "/slots/1"))
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.Error(t, err, "the stream looks complete")
			require.NoError(t, response.Body.Close())
			require.Equal(t, event(1)+event(2), string(body))
			require.NotEmpty(t, next.received())
		})
	}
}

// Guards against a success, framed as whole, that is made of the beginning of a head: the
// upstream closes the connection after any of its bytes.
func TestHeadThatEndsEarlyIsNoAnswer(t *testing.T) {
	for _, framing := range []string{"Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"} {
		head := "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n" + framing + "\r\n"
		cut := make(chan int, 1)
		u := startUpstream(t, func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, head[:<-cut])
			_ = conn.Close()
		})
		for n := range len(head) {
			cut <- n
			response, body := send(t, startRelayerAt(t, clockwork.NewFakeClockAt(time.Now()), declarer.NonIdempotent, false, u.view("u")))
			require.Equal(t, http.StatusBadGateway, response.StatusCode, "%q", head[:n])
			require.Empty(t, response.Header.Get("Signature"))
			require.Contains(t, body, "error")
		}
	}
}
