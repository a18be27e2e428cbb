package controller

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"celeryvalve/asserter"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

const (
	// ClaimRetention is how long a claim is stored after it was settled. A request
	// that is resent later runs again.
	ClaimRetention = 6 * time.Hour
	// MinimumClaimRetention is how long a settled claim is stored even if its space
	// is needed. If the organisation has no claim that is old enough to be removed,
	// a new one is answered Full.
	MinimumClaimRetention = 15 * time.Minute
	// MaximumOrganisationClaims is the maximum number of stored claims of one
	// organisation. The limit keeps a large organisation from using up the space of
	// the small ones.
	MaximumOrganisationClaims = 8192
	// MaximumClaims is the maximum number of stored claims.
	MaximumClaims = 32768
	// MaximumAnswerSize is the maximum size of an answer that is stored for resends.
	MaximumAnswerSize identifier.ByteCount = 16 << 10
	// AnswerBudget is the maximum total size of all stored answers. When it is
	// exceeded, the oldest answers are dropped; their outcomes are still stored.
	AnswerBudget identifier.ByteCount = 8 << 20
	// MaximumFreedAttempts is how many revoked attempts are stored for each key, so
	// that a delayed claim of such an attempt is not granted.
	MaximumFreedAttempts = 16

	claimRetryAfter         = 30 * time.Second // RetryAfter of an answer Full
	staleSettlementsAllowed = 1024             // stale entries tolerated in a queue, see enqueue
)

// ClaimCounts is the number of stored claims by state, and the total size of their
// answers.
type ClaimCounts struct {
	Held        int
	Settled     int
	Free        int
	AnswersSize identifier.ByteCount
}

// claimKey identifies a claim: idempotency keys are scoped by organisation and
// service.
type claimKey struct {
	organisation identifier.Organisation
	service      identifier.Service
	key          identifier.IdempotencyKey
}

// settlement is an entry of a queue of settled claims. It is stale if the claim was
// removed, or has another sequence since it was granted or settled again.
type settlement struct {
	key      claimKey
	sequence uint64
}

type claims struct {
	records         map[claimKey]*ClaimRecord
	perOrganisation map[identifier.Organisation]int
	held            map[identifier.Upstream]map[claimKey]*ClaimRecord // by upstream
	settled         map[identifier.Organisation][]settlement          // claims that are no longer held, oldest first; may contain stale entries
	answered        []settlement                                      // settled claims with an answer, oldest first; may contain stale entries
	answersSize     identifier.ByteCount
	sequence        uint64
}

func newClaims() claims {
	return claims{
		records:         make(map[claimKey]*ClaimRecord),
		perOrganisation: make(map[identifier.Organisation]int),
		held:            make(map[identifier.Upstream]map[claimKey]*ClaimRecord),
		settled:         make(map[identifier.Organisation][]settlement),
	}
}

// claim grants the key to the attempt, or answers with the reason why it can't.
func (s *State) claim(m *Claim) any {
	if m.Key == "" || m.Attempt == "" {
		return &Rejected{Kind: explainer.InvalidInput, Problem: "claim has no attempt ID or no idempotency key",
			Remedy: "send both with each claim"}
	}
	c := &s.core.claims
	record, ok := c.records[keyOf(m)]
	switch {
	case !ok && m.Replaces != 0:
		return &ClaimAnswer{Status: Fenced} // the claim to replace is no longer stored
	case !ok && !c.makeRoom(s.core.now, m.Organisation):
		return &ClaimAnswer{Status: Full, RetryAfter: claimRetryAfter}
	case !ok:
		record = &ClaimRecord{Claim: *m, State: ClaimFree}
	case record.BodyDigest != m.BodyDigest:
		return &ClaimAnswer{Status: Mismatch}
	case record.State == ClaimSettled:
		return record.answer(Settled)
	case record.State == ClaimHeld && record.Attempt == m.Attempt:
		return record.answer(Granted)
	case record.State == ClaimHeld && record.Token != m.Replaces:
		return record.answer(InProgress)
	}
	return s.grant(record, m)
}

// grant grants the key to the attempt, unless the attempt was revoked before or its
// upstream's incarnation is not a current member.
func (s *State) grant(record *ClaimRecord, m *Claim) any {
	c := &s.core.claims
	member, ok := s.core.members.current(m.Upstream, m.Incarnation)
	if !ok || slices.Contains(record.Freed, m.Attempt) {
		return &ClaimAnswer{Status: Fenced}
	}
	token, ok := s.nextToken()
	unsettled := record.State != ClaimSettled && token > record.Token
	if !ok || !s.assert.Check(asserter.AtMostOnce, unsettled, fmt.Sprintf("key %q would be granted again after its request may have run", m.Key)) {
		return &ClaimAnswer{Status: Fenced}
	}
	if record.State == ClaimHeld {
		c.revoke(record) // its agent confirmed that it refuses the attempt from now on
	}
	c.add(record)
	record.Claim = *m
	record.State = ClaimHeld
	record.Token = token
	record.HolderToken = member.Token
	record.At = s.core.now
	record.Sequence = 0
	c.addHeld(record)
	return record.answer(Granted)
}

func (c *core) settle(m *Settle) any {
	record, ok := c.claims.records[claimKey{m.Organisation, m.Service, m.Key}]
	if !ok {
		return &SettleAnswer{}
	}
	if record.Token != m.Token || !record.canSettle(m.Outcome) {
		return &SettleAnswer{Outcome: record.outcome()}
	}
	if m.Outcome == NotRun {
		c.claims.free(c.now, record)
		return &SettleAnswer{Changed: true, Outcome: NotRun}
	}
	c.claims.settle(c.now, record, m.Outcome, m.Answer)
	return &SettleAnswer{Changed: true, Outcome: m.Outcome}
}

// makeRoom reports whether another claim of the organisation can be stored. If
// there is no space, it first removes the organisation's oldest settled claim,
// provided that it was settled at least MinimumClaimRetention ago.
func (c *claims) makeRoom(now Instant, organisation identifier.Organisation) bool {
	if c.hasRoom(organisation) {
		return true
	}
	c.skipStale(organisation)
	queue := c.settled[organisation]
	if len(queue) == 0 || c.records[queue[0].key].SettledAt.after(MinimumClaimRetention) > now {
		return false
	}
	c.removeOldest(organisation)
	return c.hasRoom(organisation)
}

func (c *claims) hasRoom(organisation identifier.Organisation) bool {
	return len(c.records) < MaximumClaims && c.perOrganisation[organisation] < MaximumOrganisationClaims
}

func (c *claims) add(record *ClaimRecord) {
	key := keyOf(&record.Claim)
	if _, ok := c.records[key]; ok {
		return
	}
	c.records[key] = record
	c.perOrganisation[record.Organisation]++
}

func (c *claims) addHeld(record *ClaimRecord) {
	held := c.held[record.Upstream]
	if held == nil {
		held = make(map[claimKey]*ClaimRecord)
		c.held[record.Upstream] = held
	}
	held[keyOf(&record.Claim)] = record
}

// removeHeld removes the claim from the held claims of its upstream.
func (c *claims) removeHeld(record *ClaimRecord) {
	held := c.held[record.Upstream]
	delete(held, keyOf(&record.Claim))
	if len(held) == 0 {
		delete(c.held, record.Upstream)
	}
}

// revoke takes the claim from its holder and records the attempt in Freed, so that
// it is not granted again.
func (c *claims) revoke(record *ClaimRecord) {
	c.removeHeld(record)
	record.Freed = append(record.Freed, record.Attempt)
	if len(record.Freed) > MaximumFreedAttempts {
		record.Freed = slices.Clone(record.Freed[1:])
	}
}

func (c *claims) free(now Instant, record *ClaimRecord) {
	c.revoke(record)
	record.State = ClaimFree
	c.enqueue(now, record)
}

func (c *claims) settle(now Instant, record *ClaimRecord, outcome Outcome, answer []byte) {
	c.removeHeld(record)
	record.State = ClaimSettled
	record.Outcome = outcome
	record.AnswerDropped = identifier.ByteCount(len(answer)) > MaximumAnswerSize
	if !record.AnswerDropped {
		record.Answer = answer
	}
	c.enqueue(now, record)
	c.storeAnswer(record)
}

// enqueue starts the retention of a claim that is no longer held. It removes the
// stale entries of the organisation's queue once the queue is longer than twice the
// number of the organisation's claims plus staleSettlementsAllowed.
func (c *claims) enqueue(now Instant, record *ClaimRecord) {
	c.sequence++
	record.Sequence = c.sequence
	record.SettledAt = now
	queue := c.settled[record.Organisation]
	queue = append(queue, settlement{keyOf(&record.Claim), record.Sequence})
	if len(queue) > 2*c.perOrganisation[record.Organisation]+staleSettlementsAllowed {
		queue = slices.DeleteFunc(queue, c.stale)
	}
	c.settled[record.Organisation] = queue
}

// stale reports whether the claim was granted, settled again or removed since the
// entry was enqueued.
func (c *claims) stale(s settlement) bool {
	record, ok := c.records[s.key]
	return !ok || record.Sequence != s.sequence
}

func (c *claims) storeAnswer(record *ClaimRecord) {
	if len(record.Answer) == 0 {
		return
	}
	c.answersSize += identifier.ByteCount(len(record.Answer))
	c.answered = append(c.answered, settlement{keyOf(&record.Claim), record.Sequence})
	if len(c.answered) > 2*len(c.records)+staleSettlementsAllowed {
		c.answered = slices.DeleteFunc(c.answered, c.stale)
	}
	for c.answersSize > AnswerBudget {
		oldest := c.answered[0]
		c.answered = c.answered[1:]
		if !c.stale(oldest) {
			c.dropAnswer(c.records[oldest.key])
		}
	}
}

func (c *claims) dropAnswer(record *ClaimRecord) {
	if len(record.Answer) == 0 {
		return
	}
	c.answersSize -= identifier.ByteCount(len(record.Answer))
	record.Answer = nil
	record.AnswerDropped = true
}

// settleUnknown settles as Unknown the claims that a lost upstream held under
// member tokens up to the given one, since their requests may have run. Only the
// agent of the upstream can know more; it may still report an outcome under the
// claim's token.
func (c *claims) settleUnknown(now Instant, upstream identifier.Upstream, token identifier.FencingToken) {
	held := make([]*ClaimRecord, 0, len(c.held[upstream]))
	for _, record := range c.held[upstream] {
		if record.HolderToken <= token {
			held = append(held, record)
		}
	}
	slices.SortFunc(held, func(a, b *ClaimRecord) int { return cmp.Compare(a.Token, b.Token) })
	for _, record := range held {
		c.settle(now, record, Unknown, nil)
	}
}

// expire removes the claims that were settled or freed longer than ClaimRetention
// ago. A held claim never expires.
func (c *claims) expire(now Instant) {
	for organisation := range c.settled {
		c.skipStale(organisation)
		for len(c.settled[organisation]) > 0 {
			oldest := c.records[c.settled[organisation][0].key]
			if oldest.SettledAt.after(ClaimRetention) > now {
				break
			}
			c.removeOldest(organisation)
			c.skipStale(organisation)
		}
	}
}

// skipStale removes the stale entries at the head of the organisation's queue, so
// that its oldest settled claim comes first.
func (c *claims) skipStale(organisation identifier.Organisation) {
	queue := c.settled[organisation]
	for len(queue) > 0 && c.stale(queue[0]) {
		queue = queue[1:]
	}
	if len(queue) == 0 {
		delete(c.settled, organisation)
		return
	}
	c.settled[organisation] = queue
}

// removeOldest removes the claim at the head of the organisation's queue, which
// must not be stale.
func (c *claims) removeOldest(organisation identifier.Organisation) {
	queue := c.settled[organisation]
	c.settled[organisation] = queue[1:]
	c.remove(queue[0].key, c.records[queue[0].key])
}

func (c *claims) remove(key claimKey, record *ClaimRecord) {
	c.dropAnswer(record)
	delete(c.records, key)
	c.perOrganisation[key.organisation]--
	if c.perOrganisation[key.organisation] == 0 {
		delete(c.perOrganisation, key.organisation)
	}
}

func (c *claims) counts() ClaimCounts {
	counts := ClaimCounts{AnswersSize: c.answersSize}
	for _, record := range c.records {
		switch record.State {
		case ClaimHeld:
			counts.Held++
		case ClaimSettled:
			counts.Settled++
		case ClaimFree:
			counts.Free++
		}
	}
	return counts
}

func keyOf(m *Claim) claimKey {
	return claimKey{m.Organisation, m.Service, m.Key}
}
