package controller

import (
	"maps"
	"slices"
	"time"

	"celeryvalve/identifier"
)

// expiryMargin is what the leader adds to a lease, since the clock of the agent
// that holds it may run slower.
const expiryMargin = LeaseDuration / 10

// proposeAgain is after how long an expiry that the log didn't bring back is
// proposed again.
const proposeAgain = time.Second

// Renewal is what became of a heartbeat.
type Renewal string

// The answers to a heartbeat.
const (
	Renewed        Renewal = "Renewed"
	NotLeader      Renewal = "NotLeader"      // ask the leader
	NotMember      Renewal = "NotMember"      // announce the upstream
	OldIncarnation Renewal = "OldIncarnation" // a newer process stands beside the upstream: stop
)

// Event is what happens to a Keeper.
type Event interface{ isEvent() }

// BecameLeader starts the leases. Every member gets a full one.
type BecameLeader struct{ Members []Member }

// LostLeadership ends them.
type LostLeadership struct{}

// MembersChanged brings what the log changed.
type MembersChanged struct{ Delta MemberDelta }

// Heard is a heartbeat that arrived.
type Heard struct{ Heartbeat Heartbeat }

// Ticked happens a few times in each HeartbeatInterval.
type Ticked struct{}

func (BecameLeader) isEvent()   {}
func (LostLeadership) isEvent() {}
func (MembersChanged) isEvent() {}
func (Heard) isEvent()          {}
func (Ticked) isEvent()         {}

// Effect is what a Keeper wants done.
type Effect interface{ isEffect() }

// Propose puts a command into the log.
type Propose struct{ Command Expire }

// Answer answers the heartbeat of the event.
type Answer struct{ Answer HeartbeatAnswer }

func (Propose) isEffect() {}
func (Answer) isEffect()  {}

// lease is what the leader knows of one member.
type lease struct {
	incarnation identifier.Incarnation
	token       identifier.FencingToken
	expires     time.Time
	proposed    time.Time // of the expiry; zero when it wasn't
}

// Keeper is the reducer of the leader's soft state: when each member was heard.
// On a replica that does not lead it does nothing.
type Keeper struct {
	leading bool
	leases  map[identifier.Upstream]*lease
}

// NewKeeper returns the keeper of a replica that does not lead.
func NewKeeper() *Keeper {
	return &Keeper{leases: make(map[identifier.Upstream]*lease)}
}

// Reduce takes in one event and returns what is to be done.
func (k *Keeper) Reduce(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case BecameLeader:
		k.lead(now, e.Members)
	case LostLeadership:
		k.leading = false
		clear(k.leases)
	case MembersChanged:
		k.follow(now, e.Delta)
	case Heard:
		return []Effect{Answer{k.hear(now, e.Heartbeat)}}
	case Ticked:
		return k.expire(now)
	}
	return nil
}

func (k *Keeper) lead(now time.Time, members []Member) {
	k.leading = true
	clear(k.leases)
	for _, m := range members {
		k.begin(now, m)
	}
}

func (k *Keeper) begin(now time.Time, m Member) {
	k.leases[m.Upstream] = &lease{
		incarnation: m.Incarnation,
		token:       m.Token,
		expires:     now.Add(LeaseDuration + expiryMargin),
	}
}

// follow gives new tokens their first lease and forgets who is gone.
func (k *Keeper) follow(now time.Time, delta MemberDelta) {
	if !k.leading {
		return
	}
	named := make(map[identifier.Upstream]bool, len(delta.Members))
	for _, m := range delta.Members {
		named[m.Upstream] = true
		if old, ok := k.leases[m.Upstream]; !ok || old.token != m.Token {
			k.begin(now, m)
		}
	}
	for _, upstream := range delta.Removed {
		delete(k.leases, upstream)
	}
	if delta.Whole {
		maps.DeleteFunc(k.leases, func(upstream identifier.Upstream, _ *lease) bool { return !named[upstream] })
	}
}

// hear renews a lease. One whose expiry is proposed isn't renewed: the log may
// have ended it already, and the agent has to announce itself again then.
func (k *Keeper) hear(now time.Time, h Heartbeat) HeartbeatAnswer {
	l, ok := k.leases[h.Upstream]
	switch {
	case !k.leading:
		return HeartbeatAnswer{Renewal: NotLeader}
	case ok && h.Incarnation < l.incarnation:
		return HeartbeatAnswer{Renewal: OldIncarnation}
	case !ok || h.Incarnation > l.incarnation || !l.proposed.IsZero():
		return HeartbeatAnswer{Renewal: NotMember}
	}
	l.expires = now.Add(LeaseDuration + expiryMargin)
	return HeartbeatAnswer{Renewal: Renewed, LeaseDuration: LeaseDuration}
}

func (k *Keeper) expire(now time.Time) []Effect {
	if !k.leading {
		return nil
	}
	var effects []Effect
	for _, upstream := range slices.Sorted(maps.Keys(k.leases)) {
		l := k.leases[upstream]
		waits := !l.proposed.IsZero() && now.Sub(l.proposed) < proposeAgain
		if now.Before(l.expires) || waits {
			continue
		}
		l.proposed = now
		effects = append(effects, Propose{Expire{Upstream: upstream, Token: l.token}})
	}
	return effects
}
