package publisher

import (
	"net/netip"
	"slices"
	"time"

	"celeryvalve/configurer"
	"celeryvalve/identifier"
	"celeryvalve/subscriber"
)

// subscription is what the replica knows of one subscriber.
type subscription struct {
	process  string
	address  netip.AddrPort
	isEntry  bool
	need     configurer.Need
	upstream identifier.Upstream
	since    time.Time

	// sentVersion and sentIndex are what the subscriber was sent.
	sentVersion identifier.ConfigurationVersion
	sentIndex   uint64
	sentSuspect uint64
	services    []identifier.Service
	everything  bool

	// report is the last one, transfers the last progress that any carried.
	report     subscriber.Report
	reportedAt time.Time
	transfers  []subscriber.Transfer

	// pending is the newest report not yet renewed, renewed the newest renewed.
	pending    uint64
	renewed    uint64
	toldRenew  uint64
	superseded bool
}

// next returns the update that brings the subscriber to the state, or nil.
func (s *subscription) next(state State) *subscriber.Update {
	update := &subscriber.Update{Renewed: s.renewed, Superseded: s.superseded}
	cfg := state.Configuration()
	if cfg.Version > s.sentVersion {
		delta := cfg.DeltaFor(s.sentVersion, s.need)
		update.Configuration = &delta
		s.sentVersion = cfg.Version
	}
	update.Members = s.nextMembers(state, cfg)
	if quarantine := state.Quarantine(); quarantine.Index != s.sentSuspect {
		update.Quarantine = &quarantine
		s.sentSuspect = quarantine.Index
	}
	if update.Configuration == nil && update.Members == nil && update.Quarantine == nil && s.renewed == s.toldRenew && !s.superseded {
		return nil
	}
	s.toldRenew = s.renewed
	return update
}

// nextMembers returns the members that changed among the services that matter to
// the subscriber. When those services change, it returns all of them.
func (s *subscription) nextMembers(state State, cfg configurer.Configuration) *subscriber.MembersUpdate {
	services := cfg.Related(s.need)
	if !s.everything && !slices.Equal(services, s.services) {
		s.services = services
		s.sentIndex = 0
	}
	update := state.MembersSince(s.sentIndex)
	if update.Index == s.sentIndex {
		return nil
	}
	s.sentIndex = update.Index
	if !s.everything {
		update.Changed = slices.DeleteFunc(update.Changed, func(m subscriber.Member) bool {
			return !slices.Contains(s.services, m.Service)
		})
	}
	if !update.Whole && len(update.Changed) == 0 && len(update.Removed) == 0 {
		return nil
	}
	return &update
}
