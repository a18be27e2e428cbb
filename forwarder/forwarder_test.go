package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/forwarder"
	"celeryvalve/identifier"
	"celeryvalve/router"
)

// fakeAgent responds to every attempt with fixed messages.
type fakeAgent struct {
	messages func(start *router.AttemptStart) []any
}

func (a fakeAgent) Open(_ context.Context, _ netip.AddrPort, first any) (forwarder.Stream, error) {
	start, ok := first.(*router.AttemptStart)
	if !ok {
		return nil, io.ErrClosedPipe // an attempt can't be continued
	}
	return &fakeStream{remaining: a.messages(start)}, nil
}

func (fakeAgent) Replace(netip.AddrPort) {}

type fakeStream struct{ remaining []any }

func (s *fakeStream) Send(any) error { return nil }
func (s *fakeStream) Cancel()        {}

func (s *fakeStream) Receive(ctx context.Context) (any, error) {
	if len(s.remaining) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	msg := s.remaining[0]
	s.remaining = s.remaining[1:]
	return msg, nil
}

// acceptAny accepts every bearer token.
type acceptAny struct{}

func (acceptAny) Authenticate(string) (identifier.Organisation, error) { return "housing", nil }

// send sends one GET request through a forwarder whose agent sends the messages.
func send(t *testing.T, messages func(start *router.AttemptStart) []any) (*http.Response, string, error) {
	f := forwarder.New(forwarder.Config{}, forwarder.Dependencies{
		Opener: fakeAgent{messages: messages}, Authenticator: acceptAny{}, Clock: clockwork.NewRealClock(),
		Logger: zap.NewNop(), Check: asserter.Strict{},
	})
	f.Start()
	f.ChangePolicy(router.Policy{Services: []router.ServicePolicy{{Service: "drafting"}}}, nil)
	f.ChangeUpstreams([]router.UpstreamView{{Upstream: "u1", Incarnation: 1, Service: "drafting", Ready: true}})
	srv := httptest.NewServer(f.Handler())
	t.Cleanup(func() {
		srv.Close()
		f.Stop()
	})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, srv.URL+"/drafting/x", nil)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer token")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// completeResponse returns the messages of a complete response with two body parts.
func completeResponse(s *router.AttemptStart) []any {
	return []any{
		&router.AttemptAccepted{Request: s.Request, Attempt: s.Attempt},
		&router.ResponseHead{Request: s.Request, Attempt: s.Attempt, Status: 200, Length: 8},
		&router.ResponseData{Request: s.Request, Attempt: s.Attempt, Data: []byte("half")},
		&router.ResponseData{Request: s.Request, Attempt: s.Attempt, Offset: 4, Data: []byte("more")},
		&router.ResponseEnd{Request: s.Request, Attempt: s.Attempt, Length: 8, Digest: identifier.DigestOf([]byte("halfmore"))},
	}
}

func TestWholeAnswerIsPassedOn(t *testing.T) {
	resp, body, err := send(t, completeResponse)
	require.NoError(t, err)
	require.Equal(t, "halfmore", body)
	require.Equal(t, string(router.Completed), resp.Header.Get(forwarder.HeaderOutcome))
}

func TestDamagedAnswersAreNeverPassedOnAsWhole(t *testing.T) {
	const data, end = 3, 4
	for name, damage := range map[string]func(messages []any) []any{
		"short":         func(m []any) []any { return append(m[:data:data], m[end]) },
		"cut off":       func(m []any) []any { return m[:end] },
		"doubled":       func(m []any) []any { return append(m[:end:end], m[data], m[end]) },
		"out of place":  func(m []any) []any { m[data].(*router.ResponseData).Offset = 3; return m },
		"without head":  func(m []any) []any { return append(m[:1:1], m[2:]...) },
		"wrong length":  func(m []any) []any { m[end].(*router.ResponseEnd).Length = 7; return m },
		"wrong bytes":   func(m []any) []any { m[data].(*router.ResponseData).Data = []byte("less"); return m },
		"other attempt": func(m []any) []any { m[data].(*router.ResponseData).Attempt = "other/1"; return m },
		"other request": func(m []any) []any { m[end].(*router.ResponseEnd).Request = "other"; return m },
		"other message": func(m []any) []any { m[data] = &router.BodyEnd{}; return m },
		"other length":  func(m []any) []any { m[1].(*router.ResponseHead).Length = 9; return m },
	} {
		t.Run(name, func(t *testing.T) {
			resp, _, err := send(t, func(s *router.AttemptStart) []any { return damage(completeResponse(s)) })
			if err == nil {
				require.Equal(t, string(router.Unknown), resp.Header.Get(forwarder.HeaderOutcome))
				require.Equal(t, http.StatusBadGateway, resp.StatusCode)
			}
		})
	}
}
