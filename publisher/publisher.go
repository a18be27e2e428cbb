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
	// CoalesceTime is how long the publisher collects changes before it sends them as
	// one update.
	CoalesceTime  = 200 * time.Millisecond
	renewInterval = time.Second
	// propagationWindow is the time window of the propagation delay's summary.
	propagationWindow = 5 * time.Minute
	renewTimeout      = 2 * time.Second
)

// propagationQuantiles are the quantiles of the propagation delay: the time from when
// this replica applied a configuration version until a subscriber reports it.
var propagationQuantiles = []float64{0.5, 0.95, 0.99, 1}

// State is the applied state of the replica.
type State interface {
	Configuration() configurer.Configuration
	// MembersSince returns the members that changed after the index, or a Whole update
	// with all members. Index 0 asks for all members.
	MembersSince(index uint64) subscriber.MembersUpdate
	// Quarantine returns the fingerprints of the requests that crashed upstreams.
	Quarantine() subscriber.Quarantine
}

// Caller makes remote calls.
type Caller interface {
	// Call sends one request to an address and returns its answer.
	Call(ctx context.Context, addr netip.AddrPort, request any) (any, error)
}

// LeaderResolver looks up the leader of the control replicas.
type LeaderResolver interface {
	// Leader returns the leader's address, or false if no leader is known.
	Leader() (netip.AddrPort, bool)
}

// Publisher serves the subscriptions to one control replica. It is safe for
// concurrent use.
type Publisher struct {
	state  State
	caller Caller
	leader LeaderResolver
	clock  clockwork.Clock
	logger *zap.Logger

	renewalLoop *repeater.Repeater

	propagationDelay *metrics.Summary

	mu               sync.Mutex
	changed          chan struct{}
	version          identifier.ConfigurationVersion
	versionAppliedAt time.Time
	subscriptions    map[*subscription]bool
}

// New returns a publisher that is not started. It registers its metric in set.
func New(state State, caller Caller, leader LeaderResolver, clock clockwork.Clock, set *metrics.Set, logger *zap.Logger) *Publisher {
	p := &Publisher{
		propagationDelay: set.NewSummaryExt("celeryvalve_configuration_in_force_seconds", propagationWindow, propagationQuantiles),
		state:            state,
		caller:           caller,
		leader:           leader,
		clock:            clock,
		logger:           logger.Named("publisher"),
		changed:          make(chan struct{}),
		subscriptions:    make(map[*subscription]bool),
	}
	p.renewalLoop = repeater.New(clock, renewInterval, p.renew)
	return p
}

// Start starts to forward lease renewals to the leader in the background.
func (p *Publisher) Start() {
	p.renewalLoop.Start()
}

// Stop stops the forwarding of renewals. It does not end the subscriptions.
func (p *Publisher) Stop() {
	p.renewalLoop.Stop()
}

// Notify has the publisher send the changes of the applied state to all subscribers.
// Call it after every change of the state.
func (p *Publisher) Notify() {
	version := p.state.Configuration().Version
	p.mu.Lock()
	defer p.mu.Unlock()
	if version > p.version {
		p.version = version
		p.versionAppliedAt = p.clock.Now()
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Serve handles one subscription until the stream or ctx ends. Only an entry or
// another control process may subscribe to the whole configuration.
func (p *Publisher) Serve(ctx context.Context, s *connector.Stream, first any) {
	request, ok := first.(*subscriber.Subscribe)
	if !ok || (request.Need.All && !s.Peer().Has(certifier.Entry) && !s.Peer().Has(certifier.Control)) {
		p.logger.Warn("Rejected a subscription that is malformed or not allowed for the peer's role.", zap.String("peer", s.Peer().Name))
		return
	}
	sub := p.add(request, s.Peer())
	defer p.remove(sub)
	ctx, cancel := context.WithCancel(ctx)
	var reports sync.WaitGroup
	reports.Go(func() {
		defer cancel()
		p.receiveReports(ctx, s, sub)
	})
	p.sendUpdates(ctx, s, sub)
	cancel()
	reports.Wait()
}

func (p *Publisher) add(request *subscriber.Subscribe, peer connector.Peer) *subscription {
	sub := &subscription{
		process:          request.Process,
		address:          peer.Address,
		isEntry:          peer.Has(certifier.Entry),
		need:             request.Need,
		upstream:         request.Upstream,
		subscribedAt:     p.clock.Now(),
		sentVersion:      request.Have,
		sentMembersIndex: request.HaveMembers,
		allServices:      request.Need.All,
	}
	if !sub.allServices {
		sub.relatedServices = p.state.Configuration().RelatedServices(request.Need)
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

// sendUpdates sends an update after each change, and at every UpdateInterval one that
// shows the subscriber that the replica is alive.
func (p *Publisher) sendUpdates(ctx context.Context, s *connector.Stream, sub *subscription) {
	keepalive := p.clock.NewTicker(subscriber.UpdateInterval)
	defer keepalive.Stop()
	for {
		update, changed := p.nextUpdate(sub)
		if update != nil && s.Send(update) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-keepalive.Chan():
			if s.Send(&subscriber.Update{Renewed: p.renewedSequence(sub)}) != nil {
				return
			}
		case <-changed:
			p.coalesce(ctx)
		}
	}
}

// coalesce waits for CoalesceTime, so that further changes join the next update.
func (p *Publisher) coalesce(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.clock.After(CoalesceTime):
	}
}

// nextUpdate returns the next update of the subscription, or nil if there is none, and
// the channel that is closed at the next change of the state.
func (p *Publisher) nextUpdate(sub *subscription) (*subscriber.Update, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return sub.next(p.state), p.changed
}

func (p *Publisher) renewedSequence(sub *subscription) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return sub.renewedSequence
}

// receiveReports records the reports of the subscription until the stream ends. A
// subscription that is newer than the version adds nothing to the propagation delay.
func (p *Publisher) receiveReports(ctx context.Context, s *connector.Stream, sub *subscription) {
	for {
		msg, err := s.ReceiveReadable(ctx)
		if err != nil {
			return
		}
		report, ok := msg.(*subscriber.Report)
		if !ok {
			return
		}
		p.mu.Lock()
		if report.Version == p.version && sub.report.Version < p.version && sub.subscribedAt.Before(p.versionAppliedAt) {
			p.propagationDelay.Update(p.clock.Since(p.versionAppliedAt).Seconds())
		}
		sub.report = *report
		sub.reportedAt = p.clock.Now()
		if report.Transfers != nil {
			sub.transfers = report.Transfers
		}
		if report.Upstream != "" {
			sub.pendingSequence = report.Sequence
		}
		p.mu.Unlock()
	}
}

// renew forwards the pending renewals to the leader. If the leader can't be reached,
// they stay pending and are sent again at the next interval.
func (p *Publisher) renew(ctx context.Context) {
	pending := p.pendingRenewals()
	leader, ok := p.leader.Leader()
	if len(pending) == 0 || !ok {
		return
	}
	request := &RenewLeases{}
	for _, renewal := range pending {
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
	for sub, renewal := range pending {
		if slices.Contains(answer.Refused, renewal.Upstream) {
			sub.superseded = true
			continue
		}
		sub.superseded = false
		sub.renewedSequence = renewal.sequence
	}
}

// pendingRenewal is a renewal together with the sequence of the report that asked for it.
type pendingRenewal struct {
	Renewal
	sequence uint64
}

func (p *Publisher) pendingRenewals() map[*subscription]pendingRenewal {
	p.mu.Lock()
	defer p.mu.Unlock()
	renewals := make(map[*subscription]pendingRenewal)
	for sub := range p.subscriptions {
		if sub.pendingSequence > sub.renewedSequence {
			renewal := Renewal{Upstream: sub.report.Upstream, Incarnation: sub.report.Incarnation}
			renewals[sub] = pendingRenewal{Renewal: renewal, sequence: sub.pendingSequence}
		}
	}
	return renewals
}

// Subscriber describes one subscriber to operators.
type Subscriber struct {
	Process  string
	Upstream identifier.Upstream
	// Address is where the subscriber accepts calls.
	Address   netip.AddrPort
	Entry     bool                            // it has the role of an entry
	Version   identifier.ConfigurationVersion // in force according to its latest report
	Reported  time.Time                       // when the latest report arrived; zero: none yet
	Transfers []subscriber.Transfer
}

// Subscribers returns the subscribers of this replica, sorted by process name.
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
