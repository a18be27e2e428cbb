package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/forwarder"
	"celeryvalve/identifier"
	"celeryvalve/router"
)

// endlessAgent answers each attempt with data up to enough bytes, and counts them.
type endlessAgent struct {
	enough int64
	sent   atomic.Int64
}

func (a *endlessAgent) Open(_ context.Context, _ netip.AddrPort, first any) (forwarder.Stream, error) {
	start, ok := first.(*router.AttemptStart)
	if !ok {
		return nil, io.ErrClosedPipe // an attempt can't be continued
	}
	return &endlessStream{fakeStream: fakeStream{remaining: completeResponse(start)[:2]}, agent: a, start: start}, nil
}

func (*endlessAgent) Replace(netip.AddrPort) {}

type endlessStream struct {
	fakeStream
	agent *endlessAgent
	start *router.AttemptStart
}

func (s *endlessStream) Receive(ctx context.Context) (any, error) {
	if len(s.remaining) > 0 {
		msg, err := s.fakeStream.Receive(ctx)
		if head, ok := msg.(*router.ResponseHead); ok {
			head.Length = -1
		}
		return msg, err
	}
	const size = 64 << 10
	sent := s.agent.sent.Add(size) - size
	if ctx.Err() != nil || sent >= s.agent.enough {
		return nil, io.ErrUnexpectedEOF
	}
	return &router.ResponseData{Request: s.start.Request, Attempt: s.start.Attempt, Offset: identifier.ByteCount(sent), Data: make([]byte, size)}, nil
}

// Guards against an entry that runs out of memory since it buffers the answer of an upstream that
// sends without end to a request that may not be repeated.
func TestEndlessAnswerIsNotBuffered(t *testing.T) {
	agent := &endlessAgent{enough: 256 << 20}
	f := forwarder.New(forwarder.Config{MaxTotalAnswer: 1 << 20}, forwarder.Dependencies{
		Opener: agent, Claims: grantAll{}, Authenticator: acceptAny{}, Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), Check: asserter.Strict{},
	})
	f.Start()
	f.ChangePolicy(router.Policy{Services: []router.ServicePolicy{{Service: "drafting"}}}, nil)
	f.ChangeUpstreams([]router.UpstreamView{{Upstream: "u1", Incarnation: 1, Service: "drafting", Ready: true}})
	server := httptest.NewServer(f.Handler())
	t.Cleanup(f.Stop)
	t.Cleanup(server.Close)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/drafting/slots", strings.NewReader("x"))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer token")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Equal(t, string(router.Unknown), response.Header.Get(forwarder.HeaderOutcome))
	require.Less(t, agent.sent.Load(), agent.enough/8)
}
