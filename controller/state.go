package controller

import (
	"fmt"
	"sync"
	"time"

	"celeryvalve/asserter"
	"celeryvalve/configurer"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
)

// State is the replicated state machine. Apply, Snapshot and Restore must be called
// from one goroutine; the other methods may be called concurrently with them.
type State struct {
	assert asserter.Asserter

	mu   sync.RWMutex
	core core
}

// core is the part of State that a snapshot contains.
type core struct {
	index      Index   // log index of the last command
	now        Instant // latest time of a command in the log
	patches    patches
	members    members
	claims     claims
	origin     origin
	quarantine *quarantiner.Quarantine
}

// New returns the state before the first command.
func New(assert asserter.Asserter) *State {
	return &State{assert: assert, core: newCore()}
}

func newCore() core {
	return core{
		patches:    newPatches(),
		members:    newMembers(),
		claims:     newClaims(),
		origin:     newOrigin(),
		quarantine: newQuarantine(),
	}
}

// Apply applies one command of the log and returns a pointer to its answer. Data
// that can't be decoded is answered with Rejected and only advances the index and
// the time.
func (s *State) Apply(index uint64, at time.Time, data []byte) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	if Index(index) <= s.core.index {
		return &Rejected{Kind: explainer.Internal, Problem: fmt.Sprintf("log entry %d was already applied", index),
			Remedy: "apply each entry of the log once, in order"}
	}
	s.core.index = Index(index)
	s.core.now = max(s.core.now, Instant(at.UnixNano()))
	command, err := DecodeCommand(data)
	if err != nil {
		return &Rejected{Kind: explainer.Corrupt, Problem: err.Error(), Remedy: "run the same release on every replica"}
	}
	if rejection := checkBounds(command); rejection != nil {
		return rejection
	}
	s.core.expire()
	return s.dispatch(command)
}

func (s *State) dispatch(command any) any {
	c := &s.core
	switch m := command.(type) {
	case *SubmitPatch:
		return s.submit(m.Patch)
	case *Announce:
		return s.announce(m)
	case *Ready:
		return c.ready(m)
	case *Leave:
		return c.leave(m)
	case *Expire:
		return c.expireMember(m)
	case *Claim:
		return s.claim(m)
	case *Settle:
		return c.settle(m)
	case *LeaseOrigin:
		return s.leaseOrigin(m)
	case *ReturnOrigin:
		return c.returnOrigin(m)
	case *quarantiner.ReportCrash:
		return c.quarantine.Report(m, quarantiner.Instant(c.now), quarantiner.Revision(c.index))
	case *quarantiner.ClearSuspects:
		return c.quarantine.Clear(m, quarantiner.Instant(c.now), quarantiner.Revision(c.index))
	default:
		return &Rejected{Kind: explainer.Internal, Problem: fmt.Sprintf("command %T has no handler", command),
			Remedy: "report this as a bug"}
	}
}

// expire drops the claims and suspects whose retention has ended.
func (c *core) expire() {
	c.claims.expire(c.now)
	c.quarantine.Expire(quarantiner.Instant(c.now), quarantiner.Revision(c.index))
}

// Index returns the log index of the last command.
func (s *State) Index() Index {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.core.index
}

// Configuration returns the current configuration, which is immutable.
func (s *State) Configuration() configurer.Configuration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.core.patches.current
}

// PatchHistory returns the records of up to n of the latest versions, the latest
// first.
func (s *State) PatchHistory(n int) []Record {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.core.patches.latest(n)
}

// ConfigurationAt returns the configuration of a version. It returns an error of kind
// NotFound if the version does not exist yet or is no longer in the history.
func (s *State) ConfigurationAt(version identifier.ConfigurationVersion) (configurer.Configuration, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.core.patches.configurationAt(version)
}

// Members returns all members, as a delta that is Whole.
func (s *State) Members() MemberDelta {
	return s.MembersSince(0)
}

// MembersSince returns the members that changed after the index, and the upstreams
// that stopped being members after it.
func (s *State) MembersSince(index Index) MemberDelta {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.core.members.since(index)
}

// ClaimCounts returns the number of stored claims and the size of their answers.
func (s *State) ClaimCounts() ClaimCounts {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.core.claims.counts()
}

// ClaimOf returns the claim on a key, or false if none is stored.
func (s *State) ClaimOf(organisation identifier.Organisation, service identifier.Service, key identifier.IdempotencyKey) (ClaimRecord, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	record, ok := s.core.claims.records[claimKey{organisation, service, key}]
	if !ok {
		return ClaimRecord{}, false
	}
	return *record, true
}

// OriginUse returns the use of each manifest's origin budget.
func (s *State) OriginUse() []OriginUse {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.core.origin.usage()
}

// Suspects returns all suspects of the quarantine.
func (s *State) Suspects() Suspects {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return Suspects{Index: Index(s.core.quarantine.Changed()), List: s.core.quarantine.List()}
}
