package controller

import (
	"maps"
	"slices"
	"time"

	"celeryvalve/identifier"
)

// expiryMargin is added to a lease by the leader, because the clock of the agent
// that holds the lease may run slower than the leader's.
const expiryMargin = LeaseDuration / 10

// expireRetryInterval is how long the leader waits for a proposed Expire to be
// applied before it proposes it again.
const expireRetryInterval = time.Second

// RenewalStatus is the result of a heartbeat.
type RenewalStatus string

// The results of a heartbeat.
const (
	Renewed        RenewalStatus = "Renewed"
	NotLeader      RenewalStatus = "NotLeader"      // send the heartbeat to the leader
	NotMember      RenewalStatus = "NotMember"      // announce the upstream again
	OldIncarnation RenewalStatus = "OldIncarnation" // a newer agent controls the upstream: stop
)

// Event is an input of LeaseTracker.Reduce.
type Event interface{ isEvent() }

// BecameLeader means that the replica became the leader. It starts a full lease for
// every member.
type BecameLeader struct{ Members []Member }

// LostLeadership means that the replica is no longer the leader. It drops all
// leases.
type LostLeadership struct{}

// MembersChanged contains the changes of the members that the log made.
type MembersChanged struct{ Delta MemberDelta }

// HeartbeatReceived means that a heartbeat was received.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// Ticked must be passed to Reduce several times in each HeartbeatInterval. It
// expires leases.
type Ticked struct{}

func (BecameLeader) isEvent()      {}
func (LostLeadership) isEvent()    {}
func (MembersChanged) isEvent()    {}
func (HeartbeatReceived) isEvent() {}
func (Ticked) isEvent()            {}

// Effect is an output of LeaseTracker.Reduce that the caller must carry out.
type Effect interface{ isEffect() }

// ProposeExpire proposes a command to the log.
type ProposeExpire struct{ Command Expire }

// AnswerHeartbeat is the answer to the heartbeat of a HeartbeatReceived event.
type AnswerHeartbeat struct{ Answer HeartbeatAnswer }

func (ProposeExpire) isEffect()   {}
func (AnswerHeartbeat) isEffect() {}

// lease is the leader's lease of one member.
type lease struct {
	incarnation    identifier.Incarnation
	token          identifier.FencingToken
	expires        time.Time
	expireProposed time.Time // when Expire was last proposed, or zero
}

// LeaseTracker tracks the leases of the members on the leader, as a reducer. Leases are
// soft state: they are not in the log, and a new leader restarts them. On a
// replica that is not the leader, LeaseTracker only answers heartbeats with NotLeader.
type LeaseTracker struct {
	leading bool
	leases  map[identifier.Upstream]*lease
}

// NewLeaseTracker returns the keeper of a replica that is not the leader.
func NewLeaseTracker() *LeaseTracker {
	return &LeaseTracker{leases: make(map[identifier.Upstream]*lease)}
}

// Reduce processes one event and returns the effects to carry out.
func (k *LeaseTracker) Reduce(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case BecameLeader:
		k.startLeases(now, e.Members)
	case LostLeadership:
		k.leading = false
		clear(k.leases)
	case MembersChanged:
		k.applyDelta(now, e.Delta)
	case HeartbeatReceived:
		return []Effect{AnswerHeartbeat{k.renew(now, e.Heartbeat)}}
	case Ticked:
		return k.expire(now)
	}
	return nil
}

func (k *LeaseTracker) startLeases(now time.Time, members []Member) {
	k.leading = true
	clear(k.leases)
	for _, m := range members {
		k.grant(now, m)
	}
}

func (k *LeaseTracker) grant(now time.Time, m Member) {
	k.leases[m.Upstream] = &lease{
		incarnation: m.Incarnation,
		token:       m.Token,
		expires:     now.Add(LeaseDuration + expiryMargin),
	}
}

// applyDelta starts a lease for every new member token, and drops the leases of the
// upstreams that are no longer members.
func (k *LeaseTracker) applyDelta(now time.Time, delta MemberDelta) {
	if !k.leading {
		return
	}
	present := make(map[identifier.Upstream]bool, len(delta.Members))
	for _, m := range delta.Members {
		present[m.Upstream] = true
		if old, ok := k.leases[m.Upstream]; !ok || old.token != m.Token {
			k.grant(now, m)
		}
	}
	for _, upstream := range delta.Removed {
		delete(k.leases, upstream)
	}
	if delta.Whole {
		maps.DeleteFunc(k.leases, func(upstream identifier.Upstream, _ *lease) bool { return !present[upstream] })
	}
}

// renew renews the lease of the member that sent the heartbeat. A lease whose
// expiry was proposed is not renewed, since the log may have ended the membership
// already; the agent then has to announce the upstream again.
func (k *LeaseTracker) renew(now time.Time, h Heartbeat) HeartbeatAnswer {
	l, ok := k.leases[h.Upstream]
	switch {
	case !k.leading:
		return HeartbeatAnswer{Renewal: NotLeader}
	case ok && h.Incarnation < l.incarnation:
		return HeartbeatAnswer{Renewal: OldIncarnation}
	case !ok || h.Incarnation > l.incarnation || !l.expireProposed.IsZero():
		return HeartbeatAnswer{Renewal: NotMember}
	}
	l.expires = now.Add(LeaseDuration + expiryMargin)
	return HeartbeatAnswer{Renewal: Renewed, LeaseDuration: LeaseDuration}
}

func (k *LeaseTracker) expire(now time.Time) []Effect {
	if !k.leading {
		return nil
	}
	var effects []Effect
	for _, upstream := range slices.Sorted(maps.Keys(k.leases)) {
		l := k.leases[upstream]
		pending := !l.expireProposed.IsZero() && now.Sub(l.expireProposed) < expireRetryInterval
		if now.Before(l.expires) || pending {
			continue
		}
		l.expireProposed = now
		effects = append(effects, ProposeExpire{Expire{Upstream: upstream, Token: l.token}})
	}
	return effects
}
