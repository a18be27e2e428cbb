package relayer_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
	"celeryvalve/declarer"
)

// silentFor is longer than an upstream may be silent until another one is tried.
const silentFor = 2 * time.Second

// Guards against a request whose caller gets no answer, or an error, because its upstream was
// silent for a second: it was left, nobody else took the request, and the answer that was on its
// way was lost.
func TestSilentUpstreamIsWaitedForUnlessAnotherOneAnswers(t *testing.T) {
	full := func(conn net.Conn, r *http.Request) { writeResponse(conn, r, 503, "Not-Executed: full\r\n", "") }
	for name, test := range map[string]struct {
		kind   declarer.RequestKind
		before string // sent before the silence
		second script // of another upstream, if there is one
		goesOn bool   // the other upstream goes on with the stream
		down   bool   // the other upstream can't be reached
		want   string // what the caller gets, or empty for the answer of the first upstream
	}{
		"a stream without another upstream":           {kind: declarer.Streaming, before: event(1)},
		"a stream, in the middle of an event":         {kind: declarer.Streaming, before: event(1) + "id: 2\nda"},
		"a stream, and the other upstream is full":    {kind: declarer.Streaming, before: event(1), second: full},
		"a stream, and the other one resets":          {kind: declarer.Streaming, before: event(1), second: resetConnection},
		"a stream, and the other one is down":         {kind: declarer.Streaming, before: event(1), down: true},
		"a stream that another one goes on with":      {kind: declarer.Streaming, before: event(1), goesOn: true, want: event(1) + event(2) + event(4)},
		"an answer without another upstream":          {kind: declarer.Idempotent},
		"an answer, in the middle of its head":        {kind: declarer.Idempotent, before: "HTTP/1.1 200 O"},
		"an answer, and the other upstream is full":   {kind: declarer.Idempotent, second: full},
		"an answer, and the other upstream resets":    {kind: declarer.Idempotent, second: resetConnection},
		"an answer, and the other upstream is down":   {kind: declarer.Idempotent, down: true},
		"an answer that the other upstream gives too": {kind: declarer.Idempotent, second: signedResponse("other"), want: "other"},
	} {
		t.Run(name, func(t *testing.T) {
			silent, goOn, left := make(chan struct{}), make(chan struct{}), make(chan struct{})
			whole, want := "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\nContent-Length: 4\r\n\r\nself", "self"
			if test.kind == declarer.Streaming {
				whole = event(1) + event(2) + event(3)
				want = whole
			}
			first := startUpstream(t, func(conn net.Conn, r *http.Request) {
				if test.kind == declarer.Streaming {
					writeStreamHead(conn, r, len(whole))
				}
				_, _ = io.WriteString(conn, test.before)
				close(silent)
				go func() {
					_, _ = io.Copy(io.Discard, conn)
					close(left)
				}()
				<-goOn
				_, _ = io.WriteString(conn, whole[len(test.before):])
				<-left
			})
			if test.goesOn {
				test.second = func(conn net.Conn, r *http.Request) {
					writeStreamHead(conn, r, len(event(2)+event(4)))
					_, _ = io.WriteString(conn, event(2))
					<-left // the silent upstream's work isn't needed any more
					_, _ = io.WriteString(conn, event(4))
				}
			}
			views := []balancer.UpstreamView{first.view("a")}
			if test.second != nil {
				views = append(views, startUpstream(t, test.second).view("b"))
			}
			if test.down {
				views = append(views, balancer.UpstreamView{Upstream: "b", Service: "booking", Slots: 8, Address: netip.MustParseAddrPort("127.0.0.1:1")})
			}
			for i := range views[1:] {
				views[i+1].Region = "far"
			}
			clock := clockwork.NewFakeClockAt(time.Now())
			server := startRelayerAt(t, clock, test.kind, true, views...)
			type answer struct {
				body string
				err  error
			}
			answered := make(chan answer, 1)
			go func() {
				response, err := http.DefaultClient.Do(request(t, server, "/slots/1"))
				if err != nil {
					answered <- answer{err: err}
					return
				}
				defer func() { _ = response.Body.Close() }()
				body, err := io.ReadAll(response.Body)
				answered <- answer{body: string(body), err: err}
			}()
			<-silent
			time.Sleep(20 * time.Millisecond) // what was sent has arrived
			clock.Advance(silentFor)
			time.Sleep(20 * time.Millisecond) // another upstream was tried
			if test.want != "" {
				want = test.want
				<-left // another one has taken over
			}
			close(goOn)
			got := <-answered
			require.NoError(t, got.err)
			require.Equal(t, want, got.body)
		})
	}
}

// writeStreamHead writes the head of a response with events of the length together.
func writeStreamHead(conn net.Conn, r *http.Request, length int) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nSignature: s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n",
		r.Header.Get("Attempt"), length)
}
