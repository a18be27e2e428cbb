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
	// ClaimRetention is how long the outcome of a key is kept after it was settled.
	// A resend that comes later runs again.
	ClaimRetention = 6 * time.Hour
	// MinimumClaimRetention is how long it is kept when there is no room. A claim
	// that finds no room even so is answered Full.
	MinimumClaimRetention = 15 * time.Minute
	// MaximumOrganisationClaims is how many claims of one organisation are kept.
	// Each has its own room, so that a large one can't take that of a small one.
	MaximumOrganisationClaims = 8192
	// MaximumClaims is how many claims are kept.
	MaximumClaims = 32768
	// MaximumAnswer is the largest answer that is kept for resends.
	MaximumAnswer identifier.ByteCount = 16 << 10
	// AnswerBudget bounds the size of all answers together. The oldest are dropped;
	// their outcomes stay.
	AnswerBudget identifier.ByteCount = 8 << 20
	// FreedAttemptsKept is how many attempts that were refused are remembered for
	// each key, so that a late claim of one doesn't hold the key.
	FreedAttemptsKept = 16

	claimRetryAfter = 30 * time.Second // of an answer Full
	voidSettlements = 1024             // entries of the queue that may be void, at least
)

// ClaimCounts tells how full the claims are.
type ClaimCounts struct {
	Held    int
	Settled int
	Free    int
	Answers identifier.ByteCount
}

type claimKey struct {
	organisation identifier.Organisation
	service      identifier.Service
	key          identifier.IdempotencyKey
}

// settlement is one entry of the queue of settled claims. It is void when the
// claim has another sequence by now.
type settlement struct {
	key      claimKey
	sequence uint64
}

type claims struct {
	records  map[claimKey]*ClaimRecord
	perOwner map[identifier.Organisation]int
	held     map[identifier.Upstream]map[claimKey]*ClaimRecord // held claims of each upstream
	settled  map[identifier.Organisation][]settlement          // oldest first
	answered []settlement                                      // those with an answer, oldest first
	answers  identifier.ByteCount
	sequence uint64
}

func newClaims() claims {
	return claims{
		records:  make(map[claimKey]*ClaimRecord),
		perOwner: make(map[identifier.Organisation]int),
		held:     make(map[identifier.Upstream]map[claimKey]*ClaimRecord),
		settled:  make(map[identifier.Organisation][]settlement),
	}
}

// claim grants the key to one attempt, or tells who has it.
func (s *State) claim(m *Claim) any {
	if m.Key == "" || m.Attempt == "" {
		return &Rejected{Kind: explainer.InvalidInput, Problem: "claim has no attempt or no key",
			Remedy: "send an idempotency key"}
	}
	c := &s.core.claims
	record, ok := c.records[keyOf(m)]
	switch {
	case !ok && m.Replaces != 0:
		return &ClaimAnswer{Status: Fenced} // what it replaces was settled and forgotten
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

// grant gives the key to the attempt, unless the attempt was refused before or
// its upstream isn't current.
func (s *State) grant(record *ClaimRecord, m *Claim) any {
	c := &s.core.claims
	member, ok := s.core.members.current(m.Upstream, m.Incarnation)
	if !ok || slices.Contains(record.Freed, m.Attempt) {
		return &ClaimAnswer{Status: Fenced}
	}
	token, ok := s.nextToken()
	once := record.State != ClaimSettled && token > record.Token
	if !ok || !s.assert.Check(asserter.AtMostOnce, once, fmt.Sprintf("key %q is claimed again after it ran", m.Key)) {
		return &ClaimAnswer{Status: Fenced}
	}
	if record.State == ClaimHeld {
		c.release(record) // its agent refuses the attempt from now on
	}
	c.add(record)
	record.Claim = *m
	record.State = ClaimHeld
	record.Token = token
	record.HolderToken = member.Token
	record.At = s.core.now
	record.Sequence = 0
	c.hold(record)
	return record.answer(Granted)
}

func (c *core) settle(m *Settle) any {
	record, ok := c.claims.records[claimKey{m.Organisation, m.Service, m.Key}]
	if !ok {
		return &SettleAnswer{}
	}
	if record.Token != m.Token || !record.accepts(m.Outcome) {
		return &SettleAnswer{Outcome: record.outcome()}
	}
	if m.Outcome == NotRun {
		c.claims.free(c.now, record)
		return &SettleAnswer{Changed: true, Outcome: NotRun}
	}
	c.claims.settle(c.now, record, m.Outcome, m.Answer)
	return &SettleAnswer{Changed: true, Outcome: m.Outcome}
}

// makeRoom reports whether another claim of the organisation can be kept, after
// forgetting its oldest settled one where that is old enough.
func (c *claims) makeRoom(now Instant, organisation identifier.Organisation) bool {
	if c.hasRoom(organisation) {
		return true
	}
	c.skipVoid(organisation)
	queue := c.settled[organisation]
	if len(queue) == 0 || c.records[queue[0].key].SettledAt.after(MinimumClaimRetention) > now {
		return false
	}
	c.dropOldest(organisation)
	return c.hasRoom(organisation)
}

func (c *claims) hasRoom(organisation identifier.Organisation) bool {
	return len(c.records) < MaximumClaims && c.perOwner[organisation] < MaximumOrganisationClaims
}

func (c *claims) add(record *ClaimRecord) {
	key := keyOf(&record.Claim)
	if _, ok := c.records[key]; ok {
		return
	}
	c.records[key] = record
	c.perOwner[record.Organisation]++
}

func (c *claims) hold(record *ClaimRecord) {
	held := c.held[record.Upstream]
	if held == nil {
		held = make(map[claimKey]*ClaimRecord)
		c.held[record.Upstream] = held
	}
	held[keyOf(&record.Claim)] = record
}

// letGo takes the claim off its upstream's list.
func (c *claims) letGo(record *ClaimRecord) {
	held := c.held[record.Upstream]
	delete(held, keyOf(&record.Claim))
	if len(held) == 0 {
		delete(c.held, record.Upstream)
	}
}

// release remembers that the holder's attempt is refused for ever.
func (c *claims) release(record *ClaimRecord) {
	c.letGo(record)
	record.Freed = append(record.Freed, record.Attempt)
	if len(record.Freed) > FreedAttemptsKept {
		record.Freed = slices.Clone(record.Freed[1:])
	}
}

func (c *claims) free(now Instant, record *ClaimRecord) {
	c.release(record)
	record.State = ClaimFree
	c.enqueue(now, record)
}

func (c *claims) settle(now Instant, record *ClaimRecord, outcome Outcome, answer []byte) {
	c.letGo(record)
	record.State = ClaimSettled
	record.Outcome = outcome
	record.AnswerDropped = identifier.ByteCount(len(answer)) > MaximumAnswer
	if !record.AnswerDropped {
		record.Answer = answer
	}
	c.enqueue(now, record)
	c.keepAnswer(record)
}

// enqueue starts the retention of a claim that isn't held any more.
func (c *claims) enqueue(now Instant, record *ClaimRecord) {
	c.sequence++
	record.Sequence = c.sequence
	record.SettledAt = now
	queue := c.settled[record.Organisation]
	queue = append(queue, settlement{keyOf(&record.Claim), record.Sequence})
	if len(queue) > 2*c.perOwner[record.Organisation]+voidSettlements {
		queue = slices.DeleteFunc(queue, c.void)
	}
	c.settled[record.Organisation] = queue
}

// void reports whether the claim was settled or granted again since.
func (c *claims) void(s settlement) bool {
	record, ok := c.records[s.key]
	return !ok || record.Sequence != s.sequence
}

func (c *claims) keepAnswer(record *ClaimRecord) {
	if len(record.Answer) == 0 {
		return
	}
	c.answers += identifier.ByteCount(len(record.Answer))
	c.answered = append(c.answered, settlement{keyOf(&record.Claim), record.Sequence})
	for c.answers > AnswerBudget {
		oldest := c.answered[0]
		c.answered = c.answered[1:]
		if !c.void(oldest) {
			c.dropAnswer(c.records[oldest.key])
		}
	}
}

func (c *claims) dropAnswer(record *ClaimRecord) {
	if len(record.Answer) == 0 {
		return
	}
	c.answers -= identifier.ByteCount(len(record.Answer))
	record.Answer = nil
	record.AnswerDropped = true
}

// lose settles what a lost holder may have run. Only its agent could say more,
// and may still do so under the claim's token.
func (c *claims) lose(now Instant, upstream identifier.Upstream, token identifier.FencingToken) {
	lost := make([]*ClaimRecord, 0, len(c.held[upstream]))
	for _, record := range c.held[upstream] {
		if record.HolderToken <= token {
			lost = append(lost, record)
		}
	}
	slices.SortFunc(lost, func(a, b *ClaimRecord) int { return cmp.Compare(a.Token, b.Token) })
	for _, record := range lost {
		c.settle(now, record, Unknown, nil)
	}
}

// expire forgets claims that were settled long enough ago. A held claim is
// never forgotten by time.
func (c *claims) expire(now Instant) {
	for organisation := range c.settled {
		c.skipVoid(organisation)
		for len(c.settled[organisation]) > 0 {
			oldest := c.records[c.settled[organisation][0].key]
			if oldest.SettledAt.after(ClaimRetention) > now {
				break
			}
			c.dropOldest(organisation)
			c.skipVoid(organisation)
		}
	}
}

// skipVoid leaves the oldest settled claim of the organisation at the head of its
// queue.
func (c *claims) skipVoid(organisation identifier.Organisation) {
	queue := c.settled[organisation]
	for len(queue) > 0 && c.void(queue[0]) {
		queue = queue[1:]
	}
	if len(queue) == 0 {
		delete(c.settled, organisation)
		return
	}
	c.settled[organisation] = queue
}

// dropOldest forgets the claim at the head of the organisation's queue.
func (c *claims) dropOldest(organisation identifier.Organisation) {
	queue := c.settled[organisation]
	c.settled[organisation] = queue[1:]
	c.drop(queue[0].key, c.records[queue[0].key])
}

func (c *claims) drop(key claimKey, record *ClaimRecord) {
	c.dropAnswer(record)
	delete(c.records, key)
	c.perOwner[key.organisation]--
	if c.perOwner[key.organisation] == 0 {
		delete(c.perOwner, key.organisation)
	}
}

func (c *claims) counts() ClaimCounts {
	counts := ClaimCounts{Answers: c.answers}
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
