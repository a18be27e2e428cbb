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
	keeperInterval = 500 * time.Millisecond
	expireTimeout  = 5 * time.Second
)

// keeper is the shell around the reducer of the leader's leases.
type keeper struct {
	state       *controller.State
	coordinator *coordinator.Coordinator
	clock       clockwork.Clock
	logger      *zap.Logger

	repeat  *repeater.Repeater
	expires sync.WaitGroup

	mu      sync.Mutex
	reducer *controller.Keeper
	leading bool
	term    uint64
	index   controller.Index
}

func newKeeper(state *controller.State, c *coordinator.Coordinator, clock clockwork.Clock, logger *zap.Logger) *keeper {
	k := &keeper{
		state:       state,
		coordinator: c,
		clock:       clock,
		logger:      logger.Named("keeper"),
		reducer:     controller.NewKeeper(),
	}
	k.repeat = repeater.New(clock, keeperInterval, k.tick)
	return k
}

func (k *keeper) start() {
	k.repeat.Start()
}

func (k *keeper) stop() {
	k.repeat.Stop()
	k.expires.Wait()
}

// tick follows the leadership and the members, then ends the leases that ran out.
func (k *keeper) tick(ctx context.Context) {
	k.mu.Lock()
	k.followLeadership()
	k.followMembers()
	effects := k.reducer.Reduce(k.clock.Now(), controller.Ticked{})
	k.mu.Unlock()
	for _, effect := range effects {
		if propose, ok := effect.(controller.Propose); ok {
			k.expires.Go(func() { k.propose(ctx, propose.Command) })
		}
	}
}

// followLeadership tells the reducer about changes. A new term of this replica's
// leadership starts the leases anew.
func (k *keeper) followLeadership() {
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

func (k *keeper) followMembers() {
	delta := k.state.MembersSince(k.index)
	if delta.Index == k.index {
		return
	}
	k.index = delta.Index
	k.reducer.Reduce(k.clock.Now(), controller.MembersChanged{Delta: delta})
}

func (k *keeper) propose(ctx context.Context, command controller.Expire) {
	ctx, cancel := context.WithTimeout(ctx, expireTimeout)
	defer cancel()
	data, err := controller.EncodeCommand(&command)
	if err == nil {
		_, err = k.coordinator.Propose(ctx, data)
	}
	if err != nil {
		k.logger.Warn("Can't end a lease.", zap.String("upstream", string(command.Upstream)), zap.Error(err))
		return
	}
	k.logger.Info("Ended the lease of an upstream that was not heard.", zap.String("upstream", string(command.Upstream)))
}

// serve renews the leases that a replica gathered. A replica that can't prove
// its leadership by a quorum renews nothing.
func (k *keeper) serve(ctx context.Context, s *connector.Stream, first any) {
	request, ok := first.(*publisher.RenewLeases)
	if !ok || !s.Peer().Has(certifier.Control) {
		return
	}
	answer := &publisher.RenewAnswer{}
	if k.coordinator.Barrier(ctx) == nil {
		answer = k.renew(request)
	}
	// A replica that went away asks again.
	_ = s.Send(answer)
}

func (k *keeper) renew(request *publisher.RenewLeases) *publisher.RenewAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.followLeadership()
	k.followMembers()
	answer := &publisher.RenewAnswer{Leading: k.leading}
	for _, renewal := range request.Renewals {
		if !k.hear(renewal) {
			answer.Refused = append(answer.Refused, renewal.Upstream)
		}
	}
	return answer
}

func (k *keeper) hear(renewal publisher.Renewal) bool {
	heard := controller.Heard{Heartbeat: controller.Heartbeat{
		Upstream:    renewal.Upstream,
		Incarnation: renewal.Incarnation,
	}}
	for _, effect := range k.reducer.Reduce(k.clock.Now(), heard) {
		if answer, ok := effect.(controller.Answer); ok {
			return answer.Answer.Renewal == controller.Renewed
		}
	}
	return false
}
