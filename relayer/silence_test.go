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
	"golang.org/x/sys/unix"

	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/reader"
	"celeryvalve/relayer"
)

const (
	// silence is how long the upstreams of these tests are silent by the fake clock: longer
	// than the 1.2 s after which another one is tried.
	silence = 1900 * time.Millisecond
	// settleTime is how long the relayer has to handle what has just arrived or fired where
	// nothing shows that it has. If it is too short, a test checks less and passes.
	settleTime = 50 * time.Millisecond
	// patience is how long a test waits for what should happen at once before it fails.
	patience = 30 * time.Second
	// requestTimeout is the time limit of requests by the fake clock: only tests that advance it
	// by so much reach it.
	requestTimeout = time.Hour
	// longBody is the size of a body that is accepted, and larger than what the connection to
	// an upstream that doesn't read can hold.
	longBody = 4<<20 - 4<<10
)

// patientDialect lets the route alone limit the time of requests.
type patientDialect struct{ dialect }

func (d patientDialect) ReadCaller(h http.Header) relayer.CallerHeader {
	c := d.dialect.ReadCaller(h)
	c.Remaining = time.Hour
	return c
}

// startRoute starts a relayer with the route to the upstreams.
func startRoute(t *testing.T, clock clockwork.Clock, route declarer.Route, views ...balancer.UpstreamView) (*httptest.Server, *relayer.Relayer) {
	route.Host, route.Prefix = "a.example", "/slots/"
	route.Targets = []declarer.Target{{Service: "booking", Weight: 1}}
	reducer := balancer.New(balancer.Config{RetryRatio: 0.2, RetryBurst: 10})
	r := relayer.New(reducer, patientDialect{}, noReports{}, noReports{}, reader.NewBudget(memory), clock, metrics.NewSet(), zap.NewNop(), 1)
	r.Declare(declarer.NewIndex(declarer.Declaration{
		Version:       1,
		Services:      map[identifier.Service]declarer.Service{"booking": {MaximumConnections: 64}},
		Routes:        map[identifier.Route]declarer.Route{"slots": route},
		Organisations: map[identifier.Organisation]declarer.Organisation{"hall": {Keys: []identifier.Digest{identifier.DigestOf([]byte("k"))}}},
	}), []balancer.ServicePolicy{{Service: "booking"}})
	r.ChangeUpstreams(views)
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	t.Cleanup(r.Stop)
	return server, r
}

// wait waits until the channel is closed or brings a value.
func wait[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		require.FailNow(t, "waited in vain", what)
		panic("unreachable")
	}
}

// isClosed reports whether the channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// conversation is a kind of request, and how much of its answer the first upstream has sent
// before it falls silent.
type conversation struct {
	kind   declarer.RequestKind
	before int  // events
	head   bool // the head of the response
}

var conversations = map[string]conversation{
	"an answer":                          {kind: declarer.Idempotent},
	"a stream that has not begun":        {kind: declarer.Streaming},
	"a stream of which the head is here": {kind: declarer.Streaming, head: true},
	"a stream that has begun":            {kind: declarer.Streaming, head: true, before: 1},
}

const lastEvent = 4

// route returns the route of the request.
func (c conversation) route(attempts int, timeout time.Duration) declarer.Route {
	return declarer.Route{Kind: c.kind, Resumable: c.kind == declarer.Streaming, Timeout: timeout, MaximumAttempts: attempts}
}

func namedEvent(upstream string, id int) string {
	return fmt.Sprintf("id: %d\ndata: part %d of %s\n\n", id, id, upstream)
}

func namedEvents(upstream string, first, last int) string {
	var text strings.Builder
	for id := first; id <= last; id++ {
		text.WriteString(namedEvent(upstream, id))
	}
	return text.String()
}

// content returns the body of an upstream's response, after so many events. The
// upstreams are told apart by it.
func (c conversation) content(upstream string, after int) string {
	if c.kind == declarer.Streaming {
		return namedEvents(upstream, after+1, lastEvent)
	}
	return "the answer of " + upstream
}

// response returns the bytes of an upstream's whole response, after so many events, and the length
// of its head.
func (c conversation) response(upstream string, after int) (string, int) {
	contentType := "text/plain"
	if c.kind == declarer.Streaming {
		contentType = "text/event-stream"
	}
	return responseOf(http.StatusOK, upstream, contentType, c.content(upstream, after))
}

func responseOf(status int, upstream, contentType, content string) (string, int) {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nAttempt: a1\r\nSignature: %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n",
		status, upstream, contentType, len(content))
	return head + content, len(head)
}

// sentBefore returns what the first upstream has sent before it falls silent.
func (c conversation) sentBefore(upstream string) int {
	_, head := c.response(upstream, 0)
	if !c.head {
		return 0
	}
	return head + len(namedEvents(upstream, 1, c.before))
}

// heldUpstream is an upstream that sends its response to one request in steps.
type heldUpstream struct {
	*fakeUpstream
	reached chan *http.Request // the request, once the first step is sent
	steps   chan string        // what is sent next
	left    chan struct{}      // closed when the relayer has closed the connection
	breakUp chan struct{}      // closed to close the connection
}

// startHeld starts an upstream that first sends the text.
func startHeld(t *testing.T, text string) *heldUpstream {
	u := &heldUpstream{
		reached: make(chan *http.Request, 1), steps: make(chan string, 8),
		left: make(chan struct{}), breakUp: make(chan struct{}),
	}
	var once sync.Once
	u.fakeUpstream = startUpstream(t, func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, text)
		go func() {
			_, _ = io.Copy(io.Discard, conn)
			once.Do(func() { close(u.left) })
		}()
		u.reached <- r
		for {
			select {
			case text := <-u.steps:
				_, _ = io.WriteString(conn, text)
			case <-u.breakUp:
				_ = conn.Close()
				return
			case <-u.left:
				return
			}
		}
	})
	return u
}

// views returns the views of the upstreams, which are chosen in this order.
func (u *heldUpstream) views(others ...*heldUpstream) []balancer.UpstreamView {
	views := []balancer.UpstreamView{u.view("a")}
	for i, other := range others {
		v := other.view(identifier.Upstream(rune('b' + i)))
		v.Region = "far"
		v.Stale = i > 0
		views = append(views, v)
	}
	return views
}

// outcome is what a caller got.
type outcome struct {
	status    int
	signature string
	body      string
	err       error
}

// call is a request in progress.
type call struct {
	begun   chan struct{} // closed when the beginning of the answer has come
	outcome chan outcome
	leave   context.CancelFunc
}

// startCall sends a request with the body, and waits for so many bytes of its answer before it says
// that it has begun.
func startCall(t *testing.T, server *httptest.Server, body string, beginning int) *call {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	c := &call{begun: make(chan struct{}), outcome: make(chan outcome, 1), leave: cancel}
	r := request(t, server, "/slots/1").WithContext(ctx)
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	go func() { c.outcome <- c.do(r, beginning) }()
	return c
}

func (c *call) do(r *http.Request, beginning int) outcome {
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	o := outcome{status: response.StatusCode, signature: response.Header.Get("Signature")}
	first := make([]byte, beginning)
	if _, err := io.ReadFull(response.Body, first); err != nil {
		o.err = err
		return o
	}
	close(c.begun)
	rest, err := io.ReadAll(response.Body)
	o.body, o.err = string(first)+string(rest), err
	return o
}

// noOutcome checks that the caller has got no answer yet.
func (c *call) noOutcome(t *testing.T) {
	t.Helper()
	select {
	case o := <-c.outcome:
		require.FailNow(t, "the request has ended", "%+v", o)
	default:
	}
}

// silentCall is a request at whose upstreams, one after the other, all are silent.
type silentCall struct {
	*call
	conversation
	clock   *clockwork.FakeClock
	relayer *relayer.Relayer
	server  *httptest.Server
	// upstreams are those that have the request, in this order.
	upstreams []*heldUpstream
	// answered are those that have answered whole, whose connections are kept.
	answered map[int]bool
	// offered is what each of them sends if it is told to answer, without what it has sent.
	offered []string
}

// newSilentCall sends a request. The first upstream falls silent as the conversation says, and each
// further one after the text. They are named a, b and so on.
func newSilentCall(t *testing.T, c conversation, timeout time.Duration, further ...string) *silentCall {
	s := &silentCall{conversation: c, clock: clockwork.NewFakeClockAt(time.Now())}
	whole, _ := c.response("a", 0)
	sent := c.sentBefore("a")
	s.add(t, whole, whole[:sent])
	for i, text := range further {
		whole, _ := c.response(string(rune('b'+i)), c.before)
		s.add(t, whole, text)
	}
	s.server, s.relayer = startRoute(t, s.clock, c.route(len(s.upstreams), timeout), s.upstreams[0].views(s.upstreams[1:]...)...)
	s.call = startCall(t, s.server, "body", len(namedEvents("a", 1, c.before)))
	s.waitUntilSilent(t)
	return s
}

func (s *silentCall) add(t *testing.T, whole, text string) {
	s.upstreams = append(s.upstreams, startHeld(t, text))
	s.offered = append(s.offered, strings.TrimPrefix(whole, text))
}

// waitUntilSilent waits until the first upstream has the request and its silence has begun.
func (s *silentCall) waitUntilSilent(t *testing.T) {
	wait(t, s.upstreams[0].reached, "the first upstream gets the request")
	if s.before > 0 {
		wait(t, s.begun, "the stream begins")
	}
	time.Sleep(settleTime)
	require.NoError(t, s.clock.BlockUntilContext(t.Context(), 2), "the time limit and the silence are waited for")
}

// passSilence lets the time of the silence pass, and waits until the upstream of the number has the
// request.
func (s *silentCall) passSilence(t *testing.T, next int) *http.Request {
	var r *http.Request
	for begun := time.Now(); r == nil; {
		require.Less(t, time.Since(begun), patience, "another upstream gets the request")
		s.clock.Advance(silence)
		select {
		case r = <-s.upstreams[next].reached:
		case <-time.After(2 * connectionTimeout): // without a processor for so long it could not be connected to
		}
	}
	time.Sleep(settleTime) // what it has sent has arrived
	s.requireAllWaitedFor(t, next+1)
	return r
}

// requireAllWaitedFor checks that the connections of the first n upstreams are open and the request
// has not ended.
func (s *silentCall) requireAllWaitedFor(t *testing.T, n int) {
	t.Helper()
	s.noOutcome(t)
	for i, u := range s.upstreams[:n] {
		require.False(t, isClosed(u.left), "upstream %d is silent and is not waited for", i)
	}
}

// requireAllLeft waits until the connections of all upstreams but one are closed. Those of
// upstreams that have answered whole must not be.
func (s *silentCall) requireAllLeft(t *testing.T, but int) {
	t.Helper()
	for i, u := range s.upstreams {
		switch {
		case s.answered[i]:
			require.False(t, isClosed(u.left), "upstream %d has answered and is left", i)
		case i != but:
			wait(t, u.left, fmt.Sprintf("upstream %d is left", i))
		}
	}
}

// letAnswer lets the upstream answer whole. If it goes on with a stream, the others must have been
// left after its first event.
func (s *silentCall) letAnswer(t *testing.T, winner int) {
	rest := s.offered[winner]
	if s.kind == declarer.Streaming {
		end := strings.Index(rest, "\n\n") + 2
		s.upstreams[winner].steps <- rest[:end]
		s.requireAllLeft(t, winner)
		rest = rest[end:]
	}
	s.upstreams[winner].steps <- rest
}

// requireAnswerOf checks that the caller has got the whole answer of the upstream.
func (s *silentCall) requireAnswerOf(t *testing.T, winner int) {
	t.Helper()
	o := wait(t, s.outcome, "the request ends")
	require.NoError(t, o.err, "%+v", o)
	require.Equal(t, http.StatusOK, o.status, "%+v", o)
	name := string(rune('a' + winner))
	head := name
	if s.before > 0 {
		head = "a"
	}
	require.Equal(t, head, o.signature)
	want := s.content(name, s.before)
	if s.kind == declarer.Streaming {
		want = namedEvents("a", 1, s.before) + want
	}
	require.Equal(t, want, o.body)
	s.requireAllLeft(t, winner)
}

// Guards against the answer of a sound upstream that was silent for a second and is not read while
// another silent one is tried.
func TestSilentUpstreamsAreReadAtTheSameTime(t *testing.T) {
	for name, c := range conversations {
		whole, head := c.response("b", c.before)
		for stops, beginning := range map[string]string{
			"never answers":     "",
			"stops in its head": whole[:head/2],
			"stops behind it":   whole[:head],
			"stops in its body": whole[:head+8],
		} {
			for winner, answers := range []string{"the first", "the second"} {
				t.Run(fmt.Sprintf("%s, the second upstream %s, %s answers", name, stops, answers), func(t *testing.T) {
					t.Parallel()
					s := newSilentCall(t, c, requestTimeout, beginning)
					s.passSilence(t, 1)
					s.letAnswer(t, winner)
					s.requireAnswerOf(t, winner)
				})
			}
		}
	}
}

// The same beside an upstream that sends the head of a stream, and no event, to a request that asks
// for none.
func TestSilentUpstreamIsReadBesideAnEmptyStream(t *testing.T) {
	t.Parallel()
	text, head := responseOf(http.StatusOK, "b", "text/event-stream", "never sent")
	s := newSilentCall(t, conversation{kind: declarer.Idempotent}, requestTimeout, text[:head])
	s.passSilence(t, 1)
	s.letAnswer(t, 0)
	s.requireAnswerOf(t, 0)
}

// Guards against the error of an upstream that ends a request, or a stream that has begun, though
// another one answers a moment later.
func TestErrorWaitsForASilentUpstream(t *testing.T) {
	const errorText = "the error of b"
	failure, _ := responseOf(http.StatusInternalServerError, "b", "text/plain", errorText)
	for name, c := range conversations {
		for end, test := range map[string]struct {
			then     func(t *testing.T, s *silentCall)
			answered bool
		}{
			"answers":           {func(t *testing.T, s *silentCall) { s.letAnswer(t, 0) }, true},
			"breaks":            {func(_ *testing.T, s *silentCall) { close(s.upstreams[0].breakUp) }, false},
			"stays silent":      {func(_ *testing.T, s *silentCall) { s.clock.Advance(requestTimeout) }, false},
			"breaks in the end": {breakInTheEnd, false},
		} {
			if end == "breaks in the end" && c.before > 0 {
				continue // what has come until then has gone to the caller
			}
			t.Run(fmt.Sprintf("%s, the first upstream %s", name, end), func(t *testing.T) {
				t.Parallel()
				s := newSilentCall(t, c, requestTimeout, failure)
				s.clock.Advance(silence)
				wait(t, s.upstreams[1].reached, "another upstream gets the request")
				time.Sleep(settleTime) // its error has arrived
				s.answered = map[int]bool{1: true}
				s.noOutcome(t)
				require.False(t, isClosed(s.upstreams[0].left), "the first upstream may still answer")
				test.then(t, s)
				if test.answered {
					s.requireAnswerOf(t, 0)
					return
				}
				o := wait(t, s.outcome, "the request ends")
				if c.before > 0 {
					require.Error(t, o.err, "a stream that breaks off looks complete")
					require.Equal(t, namedEvents("a", 1, c.before), o.body)
					return
				}
				require.NoError(t, o.err)
				require.Equal(t, outcome{status: http.StatusInternalServerError, signature: "b", body: errorText}, o)
				wait(t, s.upstreams[0].left, "the first upstream is left")
			})
		}
	}
}

// breakInTheEnd lets the first upstream begin its answer, and break before its first event or its
// end.
func breakInTheEnd(_ *testing.T, s *silentCall) {
	rest := s.offered[0]
	end := len(rest) - 1
	if s.kind == declarer.Streaming {
		end = strings.Index(rest, "part 1")
	}
	s.upstreams[0].steps <- rest[:end]
	time.Sleep(settleTime) // it has arrived
	close(s.upstreams[0].breakUp)
}

// Guards against a mixture of answers: both upstreams answer with an error, or the second one
// with an error and the first one that the request has not run.
func TestErrorIsThatOfOneUpstream(t *testing.T) {
	for name, text := range map[string]string{
		"another error": "HTTP/1.1 502 X\r\nAttempt: a1\r\nSignature: a\r\nContent-Length: 14\r\n\r\nthe error of a",
		"not executed":  "HTTP/1.1 503 X\r\nAttempt: a1\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
		"no answer":     "no answer at all\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			failure, _ := responseOf(http.StatusInternalServerError, "b", "text/plain", "the error of b")
			s := newSilentCall(t, conversation{kind: declarer.Idempotent}, requestTimeout, failure)
			s.clock.Advance(silence)
			wait(t, s.upstreams[1].reached, "another upstream gets the request")
			time.Sleep(settleTime) // its error has arrived
			s.upstreams[0].steps <- text
			o := wait(t, s.outcome, "the request ends")
			ofB := outcome{status: http.StatusInternalServerError, signature: "b", body: "the error of b"}
			if name == "another error" {
				ofA := outcome{status: http.StatusBadGateway, signature: "a", body: "the error of a"}
				require.Contains(t, []outcome{ofA, ofB}, o)
				return
			}
			require.Equal(t, ofB, o)
		})
	}
}

// Guards against an upstream that is given up because it is no longer declared, though it may go on
// with what it has: the only one left is silent.
func TestSilentUpstreamThatIsNoLongerDeclaredIsWaitedFor(t *testing.T) {
	for name, c := range conversations {
		for winner, answers := range []string{"the first", "the second"} {
			t.Run(name+", "+answers+" answers", func(t *testing.T) {
				t.Parallel()
				s := newSilentCall(t, c, requestTimeout, "")
				s.relayer.ChangeUpstreams(s.upstreams[0].views(s.upstreams[1])[1:])
				s.passSilence(t, 1)
				s.letAnswer(t, winner)
				s.requireAnswerOf(t, winner)
			})
		}
	}
}

// Guards against an answer of any of three upstreams that is not read because those tried after it
// are silent too.
func TestThreeSilentUpstreams(t *testing.T) {
	for name, c := range conversations {
		for winner := range 3 {
			t.Run(fmt.Sprintf("%s, number %d answers", name, winner+1), func(t *testing.T) {
				t.Parallel()
				s := newSilentCall(t, c, requestTimeout, "", "")
				s.passSilence(t, 1)
				require.NoError(t, s.clock.BlockUntilContext(t.Context(), 2))
				s.passSilence(t, 2)
				s.letAnswer(t, winner)
				s.requireAnswerOf(t, winner)
			})
		}
	}
}

// Guards against events that are passed on twice or left out: the first upstream goes on, falls
// silent again, and goes on again, while a third one is tried.
func TestStreamThatIsSilentTwiceStaysInOrder(t *testing.T) {
	t.Parallel()
	c := conversations["a stream that has begun"]
	s := newSilentCall(t, c, requestTimeout, "", "")
	s.passSilence(t, 1)
	s.upstreams[0].steps <- namedEvent("a", 2)
	wait(t, s.upstreams[1].left, "the second upstream is left")
	time.Sleep(settleTime) // the first one is silent again
	s.clock.Advance(silence)
	time.Sleep(settleTime) // the third one has the request, if it gets it
	for _, r := range s.upstreams[2].received() {
		require.Equal(t, "2", r.Header.Get("Last-Event"))
	}
	s.upstreams[0].steps <- namedEvents("a", 3, lastEvent)
	o := wait(t, s.outcome, "the request ends")
	require.NoError(t, o.err)
	require.Equal(t, namedEvents("a", 1, lastEvent), o.body)
}

// Guards against upstreams that work on for a caller who has left while two of them were silent.
func TestSilentUpstreamsAreLeftWithTheirCaller(t *testing.T) {
	for name, c := range conversations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSilentCall(t, c, requestTimeout, "")
			s.passSilence(t, 1)
			s.leave()
			s.requireAllLeft(t, -1)
			require.Eventually(t, func() bool { return s.relayer.InFlight() == 0 }, patience, time.Millisecond)
		})
	}
}

// Guards against a request that outlives its time limit because its upstreams are silent, and
// against two answers to it.
func TestSilentUpstreamsAreLeftAtTheTimeLimit(t *testing.T) {
	for name, c := range conversations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSilentCall(t, c, requestTimeout, "")
			s.passSilence(t, 1)
			s.clock.Advance(requestTimeout)
			o := wait(t, s.outcome, "the request ends")
			s.requireAllLeft(t, -1)
			if c.before > 0 {
				require.Error(t, o.err, "a stream that breaks off looks complete")
				require.Equal(t, namedEvents("a", 1, c.before), o.body)
				return
			}
			require.NoError(t, o.err)
			require.Equal(t, http.StatusGatewayTimeout, o.status)
			require.Empty(t, o.signature)
		})
	}
}

// The same on a connection that is read to its end.
func TestTimeLimitBesideSilentUpstreamsBringsOneAnswer(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClockAt(time.Now())
	a, b := startHeld(t, ""), startHeld(t, "")
	server, _ := startRoute(t, clock, conversation{kind: declarer.Idempotent}.route(2, requestTimeout), a.views(b)...)
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, request(t, server, "/slots/1").Write(conn))
	wait(t, a.reached, "the first upstream gets the request")
	clock.Advance(silence)
	wait(t, b.reached, "another upstream gets the request")
	clock.Advance(requestTimeout)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	wait(t, a.left, "the first upstream is left")
	wait(t, b.left, "the second upstream is left")
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(settleTime)))
	_, err = reader.ReadByte()
	require.Error(t, err, "more than one answer")
}

// Guards against a time limit of requests that goes by another clock than all other limits.
func TestTimeLimitGoesByTheClockOfTheProcess(t *testing.T) {
	t.Parallel()
	const timeout = 2 * settleTime
	c := conversations["an answer"]
	for name, test := range map[string]struct {
		then   func(*heldUpstream, *clockwork.FakeClock)
		status int
	}{
		"answers late":         {func(u *heldUpstream, _ *clockwork.FakeClock) { whole, _ := c.response("a", 0); u.steps <- whole }, http.StatusOK},
		"the limit is reached": {func(_ *heldUpstream, clock *clockwork.FakeClock) { clock.Advance(timeout) }, http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := startHeld(t, "")
			clock := clockwork.NewFakeClockAt(time.Now())
			server, _ := startRoute(t, clock, c.route(1, timeout), u.view("a"))
			call := startCall(t, server, "body", 0)
			wait(t, u.reached, "the upstream gets the request")
			time.Sleep(2 * timeout) // by the clock of the system
			call.noOutcome(t)
			test.then(u, clock)
			o := wait(t, call.outcome, "the request ends")
			require.NoError(t, o.err)
			require.Equal(t, test.status, o.status, "%+v", o)
		})
	}
}

// longRequestUpstream is an upstream that accepts a connection and reads nothing until it is told to. It
// then reads the whole request and answers.
type longRequestUpstream struct {
	*fakeUpstream
	accepted chan struct{} // closed when a request has begun to arrive
	goOn     chan struct{} // closed to let it read
	ended    <-chan struct{}
	read     chan int // the size of each body that was read whole
}

// startLongRequestUpstream starts an upstream that answers with the text.
func startLongRequestUpstream(t *testing.T, text string) *longRequestUpstream {
	u := &longRequestUpstream{accepted: make(chan struct{}), goOn: make(chan struct{}), ended: t.Context().Done(), read: make(chan int, 8)}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	u.fakeUpstream = &fakeUpstream{listener: listener}
	go func() {
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn, first, text)
		}
	}()
	return u
}

func (u *longRequestUpstream) serve(conn net.Conn, first bool, text string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if _, err := reader.Peek(1); err != nil {
		return
	}
	if first {
		close(u.accepted)
	}
	select {
	case <-u.goOn:
	case <-u.ended:
		return
	}
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	u.read <- int(n)
	_, _ = io.WriteString(conn, text)
	_, _ = io.Copy(io.Discard, reader)
}

// Guards against a request that fails, or goes nowhere, because its upstream was silent for a
// second while it took in the body.
func TestUpstreamThatIsSilentWhileTheBodyIsSentIsWaitedFor(t *testing.T) {
	for kind, c := range map[string]struct {
		conversation
		kind declarer.RequestKind
	}{
		"repeatable":     {conversations["an answer"], declarer.Idempotent},
		"resumable":      {conversations["a stream that has not begun"], declarer.Streaming},
		"not repeatable": {conversations["an answer"], declarer.NonIdempotent},
	} {
		for name, test := range map[string]struct {
			second, answers bool
		}{
			"no other upstream":     {},
			"another silent one":    {second: true},
			"another which answers": {second: true, answers: true},
		} {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				answer, _ := c.response("a", 0)
				first := startLongRequestUpstream(t, answer)
				second := startHeld(t, "")
				views := []balancer.UpstreamView{first.view("a")}
				if test.second {
					v := second.view("b")
					v.Region = "far"
					views = append(views, v)
				}
				route := c.route(2, requestTimeout)
				route.Kind = c.kind
				clock := clockwork.NewFakeClockAt(time.Now())
				server, _ := startRoute(t, clock, route, views...)
				call := startCall(t, server, strings.Repeat("b", longBody), 0)
				wait(t, first.accepted, "the first upstream gets the request")
				time.Sleep(settleTime) // the connection holds no more of the body
				clock.Advance(silence)
				winner := "a"
				if test.second && c.kind != declarer.NonIdempotent {
					wait(t, second.reached, "another upstream gets the request")
				}
				time.Sleep(settleTime) // the silence has been noticed
				call.noOutcome(t)
				if test.answers && c.kind != declarer.NonIdempotent {
					winner = "b"
					answer, _ := c.response("b", 0)
					second.steps <- answer
				} else {
					close(first.goOn)
					require.Equal(t, longBody, wait(t, first.read, "the first upstream reads the whole body"))
				}
				o := wait(t, call.outcome, "the request ends")
				require.Equal(t, outcome{status: http.StatusOK, signature: winner, body: c.content(winner, 0)}, o)
				if c.kind == declarer.NonIdempotent {
					require.Empty(t, second.received(), "the request must not run twice")
				}
				if test.second && winner == "a" && c.kind != declarer.NonIdempotent {
					wait(t, second.left, "the second upstream is left")
				}
			})
		}
	}
}

// Guards against a request that fails because the connection to an upstream is not accepted, while
// another one that was tried meanwhile is silent and then answers.
func TestConnectionThatIsNotAcceptedEndsNoOtherAttempt(t *testing.T) {
	for kind, c := range map[string]conversation{
		"repeatable": conversations["an answer"],
		"resumable":  conversations["a stream that has not begun"],
	} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			first := balancer.UpstreamView{Upstream: "a", Service: "booking", Slots: 8, Address: fullListener(t)}
			second := startHeld(t, "")
			view := second.view("b")
			view.Region = "far"
			clock := clockwork.NewFakeClockAt(time.Now())
			server, _ := startRoute(t, clock, c.route(2, requestTimeout), first, view)
			call := startCall(t, server, "body", 0)
			require.NoError(t, clock.BlockUntilContext(t.Context(), 3), "the time limit, the silence and the connection are waited for")
			clock.Advance(silence)
			wait(t, second.reached, "another upstream gets the request")
			time.Sleep(connectionTimeout + settleTime)
			call.noOutcome(t)
			answer, _ := c.response("b", 0)
			second.steps <- answer
			o := wait(t, call.outcome, "the request ends")
			require.Equal(t, outcome{status: http.StatusOK, signature: "b", body: c.content("b", 0)}, o)
		})
	}
}

// connectionTimeout is how long the relayer waits for a connection.
const connectionTimeout = time.Second

// fullListener returns the address of a listener that accepts no more connections.
func fullListener(t *testing.T) netip.AddrPort {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, 0))
	name, err := unix.Getsockname(fd)
	require.NoError(t, err)
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*unix.SockaddrInet4).Port))
	for {
		conn, err := net.DialTimeout("tcp4", addr.String(), 4*settleTime)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// Guards against a silence that is none: an event waits for a caller that reads slowly, and the
// stream is tried elsewhere, although its upstream has more to send.
func TestSlowCallerIsNoSilenceOfTheUpstream(t *testing.T) {
	t.Parallel()
	const events, size = 64, 512 << 10 // far more than the connections hold
	var sent atomic.Int64
	first := startUpstream(t, func(conn net.Conn, r *http.Request) {
		text := strings.Repeat("x", size)
		length := 0
		for id := 1; id <= events; id++ {
			length += len(fmt.Sprintf("id: %d\ndata: %s\n\n", id, text))
		}
		writeStreamHead(conn, r, length)
		for id := 1; id <= events; id++ {
			fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", id, text)
			sent.Add(1)
		}
		_, _ = io.Copy(io.Discard, conn)
	})
	second := startHeld(t, "")
	views := []balancer.UpstreamView{first.view("a"), second.view("b")}
	views[1].Region = "far"
	clock := clockwork.NewFakeClockAt(time.Now())
	server, _ := startRoute(t, clock, conversations["a stream that has begun"].route(2, requestTimeout), views...)
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, request(t, server, "/slots/1").Write(conn))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	const enoughChecks = 10
	for before, same := int64(-1), 0; same < enoughChecks; same++ { // until the connections hold no more
		if n := sent.Load(); n != before {
			before, same = n, 0
		}
		time.Sleep(2 * settleTime)
	}
	require.Less(t, sent.Load(), int64(events))
	for range 3 {
		clock.Advance(silence)
		time.Sleep(settleTime) // another upstream would have been tried
	}
	require.Empty(t, second.received())
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, events, strings.Count(string(body), "\n\n"))
	require.Greater(t, len(body), events*size)
	require.Empty(t, second.received(), "the upstream was never silent")
}

// Guards against a silence that has ended as it is noticed: the timer fires as an event arrives,
// and once that has been passed on the stream is tried elsewhere at once.
func TestEventThatArrivesAsTheTimerFiresEndsTheSilence(t *testing.T) {
	const (
		tries, step = 100, 2 * time.Microsecond // together longer than an event takes
		// stallTimeout is how long the upstream of a stream may be silent before another
		// one is tried, and margin far less.
		stallTimeout = 1200 * time.Millisecond
		margin       = time.Millisecond
	)
	for try := range tries {
		t.Run(fmt.Sprint(try), func(t *testing.T) {
			t.Parallel()
			s := newSilentCall(t, conversations["a stream that has begun"], requestTimeout, "")
			first, second := s.upstreams[0], s.upstreams[1]
			s.clock.Advance(stallTimeout - margin)
			first.steps <- namedEvent("a", 2)
			for start := time.Now(); time.Since(start) < time.Duration(try)*step; {
				runtime.Gosched()
			}
			s.clock.Advance(2 * margin)
			time.Sleep(settleTime) // another upstream was tried, if any
			for _, r := range second.received() {
				require.Equal(t, "1", r.Header.Get("Last-Event"), "the upstream has just sent event 2")
			}
			first.steps <- namedEvents("a", 3, lastEvent)
			o := wait(t, s.outcome, "the request ends")
			require.NoError(t, o.err)
			require.Equal(t, namedEvents("a", 1, lastEvent), o.body)
		})
	}
}
