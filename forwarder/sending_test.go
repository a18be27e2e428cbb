package forwarder_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/forwarder"
	"celeryvalve/identifier"
	"celeryvalve/router"
)

var (
	nearAgent = netip.MustParseAddrPort("127.0.0.1:1")
	farAgent  = netip.MustParseAddrPort("127.0.0.1:2")
)

// step is the time by which a test advances its clock at once: less than an agent may be silent.
const step = 400 * time.Millisecond

// slowNetwork opens streams to a near agent, which is slow, and to a far one, which answers every
// attempt at once.
type slowNetwork struct {
	unreachable bool      // the near agent
	chunks      chan bool // the near agent takes in one part of a body for each of these

	mu       sync.Mutex
	opened   []any // the first messages of all streams
	replaced int   // connections
}

func (n *slowNetwork) Open(ctx context.Context, addr netip.AddrPort, first any) (forwarder.Stream, error) {
	n.mu.Lock()
	n.opened = append(n.opened, first)
	n.mu.Unlock()
	if addr == nearAgent && n.unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s := &sendingStream{sent: make(chan bool), cancelled: make(chan struct{})}
	s.start, _ = first.(*router.AttemptStart)
	if addr == nearAgent {
		s.chunks = n.chunks
	}
	return s, nil
}

func (n *slowNetwork) Replace(netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replaced++
}

// sendingStream answers its attempt once the body was sent.
type sendingStream struct {
	start     *router.AttemptStart
	chunks    chan bool // nil for an agent that reads at once
	sent      chan bool
	once      sync.Once
	cancelled chan struct{}
	answers   []any
}

func (s *sendingStream) Send(msg any) error {
	switch msg.(type) {
	case *router.BodyChunk:
		if s.chunks == nil {
			return nil
		}
		select {
		case <-s.chunks:
		case <-s.cancelled:
			return io.ErrClosedPipe
		}
	case *router.BodyEnd:
		s.answers = completeResponse(s.start)
		close(s.sent)
	}
	return nil
}

func (s *sendingStream) Cancel() { s.once.Do(func() { close(s.cancelled) }) }

func (s *sendingStream) Receive(ctx context.Context) (any, error) {
	select {
	case <-s.sent:
	case <-s.cancelled:
		return nil, io.ErrUnexpectedEOF
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if len(s.answers) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	msg := s.answers[0]
	s.answers = s.answers[1:]
	return msg, nil
}

// grantAll grants every claim.
type grantAll struct{}

func (grantAll) Claim(context.Context, router.ClaimRequest) (router.ClaimAnswer, error) {
	return router.ClaimAnswer{Status: router.Granted, Token: 1}, nil
}
func (grantAll) Settle(context.Context, router.Settlement) error { return nil }

// book starts a booking, which may not be repeated, with a body of four parts. agents are those of
// the service.
func book(t *testing.T, network *slowNetwork, agents ...netip.AddrPort) (*clockwork.FakeClock, <-chan string) {
	clock := clockwork.NewFakeClockAt(time.Now())
	f := forwarder.New(forwarder.Config{Region: "near"}, forwarder.Dependencies{
		Opener: network, Claims: grantAll{}, Authenticator: acceptAny{}, Clock: clock,
		Logger: zap.NewNop(), Check: asserter.Strict{},
	})
	f.Start()
	f.ChangePolicy(router.Policy{Services: []router.ServicePolicy{{Service: "drafting"}}}, nil)
	var views []router.UpstreamView
	for _, a := range agents {
		region := identifier.Region("near")
		if a == farAgent {
			region = "far"
		}
		views = append(views, router.UpstreamView{Upstream: identifier.Upstream(a.String()), Incarnation: 1, Address: a, Region: region, Service: "drafting", Ready: true})
	}
	f.ChangeUpstreams(views)
	server := httptest.NewServer(f.Handler())
	t.Cleanup(f.Stop)
	t.Cleanup(server.Close)
	outcome := make(chan string, 1)
	go func() {
		body := bytes.NewReader(make([]byte, 4*64<<10))
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/drafting/slots", body)
		if err != nil {
			outcome <- err.Error()
			return
		}
		request.Header.Set("Authorization", "Bearer token")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			outcome <- err.Error()
			return
		}
		outcome <- response.Header.Get(forwarder.HeaderOutcome)
		_ = response.Body.Close()
	}()
	return clock, outcome
}

// opens waits until n streams were opened.
func (n *slowNetwork) opens(t *testing.T, count int) {
	require.Eventually(t, func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.opened) >= count
	}, hangTimeout, time.Millisecond)
}

// pass advances the clock, and lets everything happen that follows.
func pass(clock *clockwork.FakeClock) {
	clock.Advance(step)
	time.Sleep(20 * time.Millisecond)
}

// Guards against a request whose body takes longer to send than an agent may be silent: its
// connection was replaced, with the streams of all other requests on it, and it was never sent whole.
func TestLongSendingIsNoSilence(t *testing.T) {
	network := &slowNetwork{chunks: make(chan bool)}
	clock, outcome := book(t, network, nearAgent)
	network.opens(t, 1)
	for range 4 {
		for range 3 { // 1.2 s a part
			pass(clock)
		}
		select {
		case network.chunks <- true:
		case <-time.After(hangTimeout):
			require.Fail(t, "the body is not sent any more")
		}
	}
	require.Equal(t, string(router.Completed), <-outcome)
	require.Len(t, network.opened, 1)
	require.Zero(t, network.replaced)
}

// Guards against a request that was never sent, since its agent can't be reached, and is answered as
// one that may have run.
func TestRequestThatWasNotSentGoesElsewhere(t *testing.T) {
	for name, network := range map[string]*slowNetwork{
		"the agent can't be reached": {unreachable: true},
		"the agent takes in no body": {chunks: make(chan bool)},
	} {
		t.Run(name, func(t *testing.T) {
			clock, outcome := book(t, network, nearAgent, farAgent)
			network.opens(t, 1)
			for range 40 {
				pass(clock)
				select {
				case got := <-outcome:
					require.Equal(t, string(router.Completed), got)
					return
				default:
				}
			}
			require.Fail(t, "the request gets no answer")
		})
	}
}
