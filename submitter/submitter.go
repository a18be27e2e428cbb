package submitter

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/explainer"
)

// Caller sends one request to an address and returns its answer.
type Caller interface {
	Call(ctx context.Context, addr netip.AddrPort, request any) (any, error)
}

// Submitter finds the leader of the control replicas and sends requests to it.
type Submitter struct {
	caller  Caller
	clock   clockwork.Clock
	finder  *finder
	metrics submitterMetrics
	log     *zap.Logger
}

// submitterMetrics are the metrics of all requests of a process.
type submitterMetrics struct {
	seconds     *metrics.Histogram
	unavailable *metrics.Counter
}

// New returns a submitter that knows the addresses of the control replicas. Without any,
// requests wait for SetAddresses.
func New(caller Caller, addresses []netip.AddrPort, clock clockwork.Clock, set *metrics.Set, log *zap.Logger) *Submitter {
	return &Submitter{
		caller: caller,
		clock:  clock,
		finder: newFinder(caller, addresses, clock),
		metrics: submitterMetrics{
			seconds:     set.GetOrCreateHistogram("celeryvalve_submission_seconds"),
			unavailable: set.GetOrCreateCounter("celeryvalve_submissions_unavailable_total"),
		},
		log: log.Named("submitter"),
	}
}

// SetAddresses replaces the addresses of the control replicas. It ignores an empty list.
func (s *Submitter) SetAddresses(addresses []netip.AddrPort) {
	s.finder.setAddresses(addresses)
}

// FindLeader returns nil once a replica names a leader, or an error of kind Unavailable if none does before
// ctx ends.
func (s *Submitter) FindLeader(ctx context.Context) error {
	if err := s.finder.awaitNaming(ctx); err != nil {
		return s.unavailable(err)
	}
	return nil
}

// Submit sends the command until the leader has applied it, and returns the result of the
// state machine. Its errors are those of Call.
func (s *Submitter) Submit(ctx context.Context, data []byte) (any, error) {
	return s.Call(ctx, &SubmitCommand{Data: data})
}

// Call sends a request that only the leader serves, until it is served, and returns the answer. It
// returns an error if a replica refuses the request with a kind other than Unavailable, if the request can't be
// encoded, or if ctx ends. In the last case the kind is Unavailable, and the request may or may not have been
// served. The request may be served twice.
func (s *Submitter) Call(ctx context.Context, request any) (any, error) {
	c := newCall(s, request)
	answer, err := c.run(ctx)
	c.report(err)
	return answer, err
}

func (s *Submitter) unavailable(cause error) error {
	return explainer.Wrap(cause, explainer.Unavailable, fmt.Sprintf("no leader of %d control replicas answered", s.finder.addressCount()),
		"check that a majority of the control replicas runs, then submit again")
}
