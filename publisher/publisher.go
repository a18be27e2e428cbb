package publisher

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/certifier"
	"celeryvalve/configurer"
	"celeryvalve/connector"
	"celeryvalve/identifier"
	"celeryvalve/repeater"
	"celeryvalve/subscriber"
)

const (
	// CoalesceTime is how long changes are gathered into one update.
	CoalesceTime  = 200 * time.Millisecond
	renewInterval = time.Second
	// inForceWindow is the time over which the metric of spread is summed up.
	inForceWindow = 5 * time.Minute
	renewTimeout  = 2 * time.Second
)

// inForceQuantiles are those of the time from an applied version until a
// subscriber reports it.
var inForceQuantiles = []float64{0.5, 0.95, 0.99, 1}

// State is the applied state of the replica.
type State interface {
	Configuration() configurer.Configuration
	// MembersSince returns the changes after the index, or the whole list.
	MembersSince(index uint64) subscriber.MembersUpdate
	// Quarantine returns the requests that crashed upstreams.
	Quarantine() subscriber.Quarantine
}

// Caller sends one request to an address and returns its answer.
type Caller interface {
	Call(ctx context.Context, addr netip.AddrPort, request any) (any, error)
}

// Leader tells where the leader is.
type Leader interface {
	Leader() (netip.AddrPort, bool)
}

// Publisher serves subscriptions.
type Publisher struct {
	state  State
	caller Caller
	leader Leader
	clock  clockwork.Clock
	logger *zap.Logger

	renewals *repeater.Repeater

	inForce *metrics.Summary

	mu            sync.Mutex
	changed       chan struct{}
	version       identifier.ConfigurationVersion
	versionSince  time.Time
	subscriptions map[*subscription]bool
}

// New returns a publisher that is not started.
func New(state State, caller Caller, leader Leader, clock clockwork.Clock, set *metrics.Set, logger *zap.Logger) *Publisher {
	p := &Publisher{
		inForce:       set.NewSummaryExt("celeryvalve_configuration_in_force_seconds", inForceWindow, inForceQuantiles),
		state:         state,
		caller:        caller,
		leader:        leader,
		clock:         clock,
		logger:        logger.Named("publisher"),
		changed:       make(chan struct{}),
		subscriptions: make(map[*subscription]bool),
	}
	p.renewals = repeater.New(clock, renewInterval, p.renew)
	return p
}

// Start begins to renew leases.
func (p *Publisher) Start() {
	p.renewals.Start()
}

// Stop ends the renewals.
func (p *Publisher) Stop() {
	p.renewals.Stop()
}

// Notify says that the applied state changed.
func (p *Publisher) Notify() {
	version := p.state.Configuration().Version
	p.mu.Lock()
	defer p.mu.Unlock()
	if version > p.version {
		p.version = version
		p.versionSince = p.clock.Now()
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Serve follows one subscription until the stream ends.
func (p *Publisher) Serve(ctx context.Context, s *connector.Stream, first any) {
	request, ok := first.(*subscriber.Subscribe)
	if !ok || (request.Need.All && !s.Peer().Has(certifier.Entry) && !s.Peer().Has(certifier.Control)) {
		p.logger.Warn("Refused a subscription.", zap.String("peer", s.Peer().Name))
		return
	}
	sub := p.add(request, s.Peer())
	defer p.remove(sub)
	ctx, cancel := context.WithCancel(ctx)
	var reports sync.WaitGroup
	reports.Go(func() {
		defer cancel()
		p.takeReports(ctx, s, sub)
	})
	p.sendUpdates(ctx, s, sub)
	cancel()
	reports.Wait()
}

func (p *Publisher) add(request *subscriber.Subscribe, peer connector.Peer) *subscription {
	sub := &subscription{
		process:     request.Process,
		address:     peer.Address,
		isEntry:     peer.Has(certifier.Entry),
		need:        request.Need,
		upstream:    request.Upstream,
		since:       p.clock.Now(),
		sentVersion: request.Have,
		sentIndex:   request.HaveMembers,
		everything:  request.Need.All,
	}
	if !sub.everything {
		sub.services = p.state.Configuration().Related(request.Need)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.subscriptions[sub] = true
	return sub
}

func (p *Publisher) remove(sub *subscription) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.subscriptions, sub)
}

func (p *Publisher) sendUpdates(ctx context.Context, s *connector.Stream, sub *subscription) {
	idle := p.clock.NewTicker(subscriber.UpdateInterval)
	defer idle.Stop()
	for {
		update, changed := p.nextUpdate(sub)
		if update != nil && s.Send(update) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-idle.Chan():
			if s.Send(&subscriber.Update{Renewed: p.renewedOf(sub)}) != nil {
				return
			}
		case <-changed:
			p.coalesce(ctx)
		}
	}
}

func (p *Publisher) coalesce(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.clock.After(CoalesceTime):
	}
}

func (p *Publisher) nextUpdate(sub *subscription) (*subscriber.Update, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return sub.next(p.state), p.changed
}

func (p *Publisher) renewedOf(sub *subscription) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return sub.renewed
}

func (p *Publisher) takeReports(ctx context.Context, s *connector.Stream, sub *subscription) {
	for {
		msg, err := s.Receive(ctx)
		if err != nil {
			return
		}
		report, ok := msg.(*subscriber.Report)
		if !ok {
			return
		}
		p.mu.Lock()
		if report.Version == p.version && sub.report.Version < p.version && sub.since.Before(p.versionSince) {
			p.inForce.Update(p.clock.Since(p.versionSince).Seconds())
		}
		sub.report = *report
		sub.reportedAt = p.clock.Now()
		if report.Transfers != nil {
			sub.transfers = report.Transfers
		}
		if report.Upstream != "" {
			sub.pending = report.Sequence
		}
		p.mu.Unlock()
	}
}

// renew brings the pending renewals to the leader. They stay pending when it
// can't be reached.
func (p *Publisher) renew(ctx context.Context) {
	asked := p.pendingRenewals()
	leader, ok := p.leader.Leader()
	if len(asked) == 0 || !ok {
		return
	}
	request := &RenewLeases{}
	for _, renewal := range asked {
		request.Renewals = append(request.Renewals, renewal.Renewal)
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	msg, err := p.caller.Call(ctx, leader, request)
	answer, ok := msg.(*RenewAnswer)
	if err != nil || !ok || !answer.Leading {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for sub, renewal := range asked {
		if slices.Contains(answer.Refused, renewal.Upstream) {
			sub.superseded = true
			continue
		}
		sub.superseded = false
		sub.renewed = renewal.sequence
	}
}

type pendingRenewal struct {
	Renewal
	sequence uint64
}

func (p *Publisher) pendingRenewals() map[*subscription]pendingRenewal {
	p.mu.Lock()
	defer p.mu.Unlock()
	asked := make(map[*subscription]pendingRenewal)
	for sub := range p.subscriptions {
		if sub.pending > sub.renewed {
			renewal := Renewal{Upstream: sub.report.Upstream, Incarnation: sub.report.Incarnation}
			asked[sub] = pendingRenewal{Renewal: renewal, sequence: sub.pending}
		}
	}
	return asked
}

// Subscriber is what is known of one subscriber, for operators.
type Subscriber struct {
	Process  string
	Upstream identifier.Upstream
	// Address is where the subscriber takes calls, Entry whether it is an entry.
	Address   netip.AddrPort
	Entry     bool
	Version   identifier.ConfigurationVersion
	Reported  time.Time
	Transfers []subscriber.Transfer
}

// Subscribers returns every subscriber of this replica.
func (p *Publisher) Subscribers() []Subscriber {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Subscriber, 0, len(p.subscriptions))
	for sub := range p.subscriptions {
		list = append(list, Subscriber{
			Process:   sub.process,
			Upstream:  sub.upstream,
			Address:   sub.address,
			Entry:     sub.isEntry,
			Version:   sub.report.Version,
			Reported:  sub.reportedAt,
			Transfers: sub.transfers,
		})
	}
	slices.SortFunc(list, func(a, b Subscriber) int {
		switch {
		case a.Process < b.Process:
			return -1
		case a.Process > b.Process:
			return 1
		default:
			return 0
		}
	})
	return list
}
