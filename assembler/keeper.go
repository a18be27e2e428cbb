package assembler

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/certifier"
	"celeryvalve/connector"
	"celeryvalve/controller"
	"celeryvalve/coordinator"
	"celeryvalve/publisher"
	"celeryvalve/repeater"
)

const (
	leaseCheckInterval = 500 * time.Millisecond
	expireTimeout      = 5 * time.Second
)

// leaseKeeper runs controller.LeaseTracker, the reducer of the leader's leases. It passes
// leadership, members, renewals and the time to the reducer, and proposes to expire the
// leases that ran out.
type leaseKeeper struct {
	state       *controller.State
	coordinator *coordinator.Coordinator
	clock       clockwork.Clock
	logger      *zap.Logger

	repeat    *repeater.Repeater
	proposals sync.WaitGroup

	mu      sync.Mutex
	reducer *controller.LeaseTracker
	leading bool
	term    uint64
	index   controller.Index
}

func newLeaseKeeper(state *controller.State, c *coordinator.Coordinator, clock clockwork.Clock, logger *zap.Logger) *leaseKeeper {
	k := &leaseKeeper{
		state:       state,
		coordinator: c,
		clock:       clock,
		logger:      logger.Named("keeper"),
		reducer:     controller.NewLeaseTracker(),
	}
	k.repeat = repeater.New(clock, leaseCheckInterval, k.tick)
	return k
}

func (k *leaseKeeper) start() {
	k.repeat.Start()
}

func (k *leaseKeeper) stop() {
	k.repeat.Stop()
	k.proposals.Wait()
}

// tick passes changes of leadership and members to the reducer, then proposes to expire
// the leases that ran out.
func (k *leaseKeeper) tick(ctx context.Context) {
	k.mu.Lock()
	k.syncLeadership()
	k.syncMembers()
	effects := k.reducer.Reduce(k.clock.Now(), controller.Ticked{})
	k.mu.Unlock()
	for _, effect := range effects {
		if propose, ok := effect.(controller.ProposeExpire); ok {
			k.proposals.Go(func() { k.propose(ctx, propose.Command) })
		}
	}
}

// syncLeadership passes changes of leadership to the reducer. Each new term in which this
// replica leads restarts the leases.
func (k *leaseKeeper) syncLeadership() {
	leading, term := k.coordinator.IsLeader(), k.coordinator.Term()
	if leading == k.leading && term == k.term {
		return
	}
	k.leading, k.term = leading, term
	if !leading {
		k.reducer.Reduce(k.clock.Now(), controller.LostLeadership{})
		return
	}
	members := k.state.Members()
	k.index = members.Index
	k.reducer.Reduce(k.clock.Now(), controller.BecameLeader{Members: members.Members})
}

func (k *leaseKeeper) syncMembers() {
	delta := k.state.MembersSince(k.index)
	if delta.Index == k.index {
		return
	}
	k.index = delta.Index
	k.reducer.Reduce(k.clock.Now(), controller.MembersChanged{Delta: delta})
}

func (k *leaseKeeper) propose(ctx context.Context, command controller.Expire) {
	ctx, cancel := context.WithTimeout(ctx, expireTimeout)
	defer cancel()
	data, err := controller.EncodeCommand(&command)
	if err == nil {
		_, err = k.coordinator.Propose(ctx, data)
	}
	if err != nil {
		k.logger.Warn("Can't expire the lease of an upstream.", zap.String("upstream", string(command.Upstream)), zap.Error(err))
		return
	}
	k.logger.Info("Expired the lease of an upstream that did not renew it in time.", zap.String("upstream", string(command.Upstream)))
}

// serve renews the leases for which another control replica collected renewals. It
// renews none unless a quorum confirms that this replica is the leader.
func (k *leaseKeeper) serve(ctx context.Context, s *connector.Stream, first any) {
	request, ok := first.(*publisher.RenewLeases)
	if !ok || !s.Peer().Has(certifier.Control) {
		return
	}
	answer := &publisher.RenewAnswer{}
	if k.coordinator.Barrier(ctx) == nil {
		answer = k.renew(request)
	}
	// The error is ignored: a replica that gets no answer sends its renewals again.
	_ = s.Send(answer)
}

func (k *leaseKeeper) renew(request *publisher.RenewLeases) *publisher.RenewAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.syncLeadership()
	k.syncMembers()
	answer := &publisher.RenewAnswer{Leading: k.leading}
	for _, renewal := range request.Renewals {
		if !k.renewLease(renewal) {
			answer.Refused = append(answer.Refused, renewal.Upstream)
		}
	}
	return answer
}

func (k *leaseKeeper) renewLease(renewal publisher.Renewal) bool {
	heartbeat := controller.HeartbeatReceived{Heartbeat: controller.Heartbeat{
		Upstream:    renewal.Upstream,
		Incarnation: renewal.Incarnation,
	}}
	for _, effect := range k.reducer.Reduce(k.clock.Now(), heartbeat) {
		if answer, ok := effect.(controller.AnswerHeartbeat); ok {
			return answer.Answer.Renewal == controller.Renewed
		}
	}
	return false
}
