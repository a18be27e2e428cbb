package assembler

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/forwarder"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/router"
)

// hangTimeout ends a test whose answer does not come. No passing test waits for it.
const hangTimeout = 10 * time.Second

// silentAgent accepts attempts and never answers them.
type silentAgent struct{ accepted chan bool }

func (a silentAgent) Open(context.Context, netip.AddrPort, any) (forwarder.Stream, error) {
	return silentStream{a}, nil
}

func (silentAgent) Replace(netip.AddrPort) {}

type silentStream struct{ agent silentAgent }

func (s silentStream) Send(msg any) error {
	if _, ok := msg.(*router.BodyEnd); ok {
		s.agent.accepted <- true
	}
	return nil
}

func (s silentStream) Receive(ctx context.Context) (any, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (silentStream) Cancel() {}

// grantingControl grants every claim, and knows every bearer token.
type grantingControl struct{}

func (grantingControl) Claim(context.Context, router.ClaimRequest) (router.ClaimAnswer, error) {
	return router.ClaimAnswer{Status: router.Granted, Token: 1}, nil
}

func (grantingControl) Settle(context.Context, router.Settlement) error { return nil }

func (grantingControl) Authenticate(string) (identifier.Organisation, error) { return "housing", nil }

// beginBooking sends a request that may not be repeated, and once the entry reads its body of two
// bytes, the given ones. It returns a reader of the response.
func beginBooking(t *testing.T, address, body string) *bufio.Reader {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(hangTimeout)))
	_, err = fmt.Fprint(conn, "POST /booking/slots HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer token\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusContinue, response.StatusCode)
	_, err = io.WriteString(conn, body)
	require.NoError(t, err)
	return reader
}

// Guards against requests that get no answer at the end of a planned stop: bookings that are still
// in progress, and those whose bodies have not arrived whole.
func TestPlannedStopAnswersWhatIsLeft(t *testing.T) {
	agent := silentAgent{accepted: make(chan bool, 1)}
	f := forwarder.New(forwarder.Config{}, forwarder.Dependencies{
		Opener: agent, Claims: grantingControl{}, Authenticator: grantingControl{}, Clock: clockwork.NewFakeClockAt(time.Now()),
		Logger: zap.NewNop(), Check: asserter.Strict{},
	})
	f.Start()
	f.ChangePolicy(router.Policy{Services: []router.ServicePolicy{{Service: "booking"}}}, nil)
	f.ChangeUpstreams([]router.UpstreamView{{Upstream: "u1", Incarnation: 1, Service: "booking", Ready: true}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := f.Server()
	go func() { _ = server.Serve(listener) }()

	running := beginBooking(t, listener.Addr().String(), "xx")
	<-agent.accepted
	late := beginBooking(t, listener.Addr().String(), "x")
	parts := entryParts{Settings: parser.Settings{Drain: parser.DrainSettings{Deadline: 100 * time.Millisecond}}, Forwarder: f, Logger: zap.NewNop()}
	drained := make(chan error, 1)
	go func() { drained <- drainEntry(context.Background(), parts, server) }()
	for reader, want := range map[*bufio.Reader]router.Outcome{running: router.Unknown, late: router.NotRun} {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err, "the connection ends without an answer")
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, string(want), response.Header.Get(forwarder.HeaderOutcome), "%s", body)
		require.Equal(t, want == router.NotRun, response.StatusCode == http.StatusServiceUnavailable)
	}
	require.Error(t, <-drained, "requests were left")
	require.Empty(t, agent.accepted, "what came late must not run")
}
