package publisher

import (
	"net/netip"
	"slices"
	"time"

	"celeryvalve/configurer"
	"celeryvalve/identifier"
	"celeryvalve/subscriber"
)

// subscription is the state of one subscriber at this replica. Publisher.mu guards
// the fields that change.
type subscription struct {
	process      string
	address      netip.AddrPort
	isEntry      bool
	need         configurer.Need
	upstream     identifier.Upstream
	subscribedAt time.Time

	// The sent fields record what the subscriber has: the version of the configuration
	// and the indexes of the members and of the quarantine that it was last sent.
	sentVersion         identifier.ConfigurationVersion
	sentMembersIndex    uint64
	sentQuarantineIndex uint64
	relatedServices     []identifier.Service
	allServices         bool

	// report is the latest report. transfers are those of the latest report that
	// carried any, since a report omits transfers that have not changed.
	report     subscriber.Report
	reportedAt time.Time
	transfers  []subscriber.Transfer

	// pendingSequence is the sequence of the latest report that asks for a renewal,
	// renewedSequence that of the latest report whose renewal the leader accepted, and
	// sentRenewedSequence the renewedSequence that was last sent in an update. superseded
	// is set if the leader refused the latest renewal.
	pendingSequence     uint64
	renewedSequence     uint64
	sentRenewedSequence uint64
	superseded          bool
}

// next returns the update that brings the subscriber up to date with the state, and
// records it as sent. It returns nil if there is nothing to send.
func (s *subscription) next(state State) *subscriber.Update {
	update := &subscriber.Update{Renewed: s.renewedSequence, Superseded: s.superseded}
	cfg := state.Configuration()
	if cfg.Version > s.sentVersion {
		delta := cfg.DeltaFor(s.sentVersion, s.need)
		update.Configuration = &delta
		s.sentVersion = cfg.Version
	}
	update.Members = s.nextMembers(state, cfg)
	if quarantine := state.Quarantine(); quarantine.Index != s.sentQuarantineIndex {
		update.Quarantine = &quarantine
		s.sentQuarantineIndex = quarantine.Index
	}
	if update.Configuration == nil && update.Members == nil && update.Quarantine == nil && s.renewedSequence == s.sentRenewedSequence && !s.superseded {
		return nil
	}
	s.sentRenewedSequence = s.renewedSequence
	return update
}

// nextMembers returns the changed members of the services that the subscriber needs.
// If the set of these services has changed, it returns all of their members. It
// returns nil if nothing has changed.
func (s *subscription) nextMembers(state State, cfg configurer.Configuration) *subscriber.MembersUpdate {
	services := cfg.RelatedServices(s.need)
	if !s.allServices && !slices.Equal(services, s.relatedServices) {
		s.relatedServices = services
		s.sentMembersIndex = 0
	}
	update := state.MembersSince(s.sentMembersIndex)
	if update.Index == s.sentMembersIndex {
		return nil
	}
	s.sentMembersIndex = update.Index
	if !s.allServices {
		update.Changed = slices.DeleteFunc(update.Changed, func(m subscriber.Member) bool {
			return !slices.Contains(s.relatedServices, m.Service)
		})
	}
	if !update.Whole && len(update.Changed) == 0 && len(update.Removed) == 0 {
		return nil
	}
	return &update
}
