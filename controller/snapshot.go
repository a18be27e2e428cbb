package controller

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"sync"

	"celeryvalve/asserter"
	"celeryvalve/configurer"
	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// A snapshot is a row of frames, each after its length in four bytes, and the
// SHA-256 of all of them. Lists are cut into frames of a bounded number of
// elements. The first frame says how many elements of each list follow.

const (
	// smallElements is how many elements of a list of small ones a frame holds.
	smallElements = 64
	// largeElements is the same for elements that may be megabytes each.
	largeElements = 1
)

const lengthSize = 4 // bytes

// snapshotHead opens a snapshot.
type snapshotHead struct {
	Index         Index
	Now           Instant
	Configuration configurer.Configuration
	LastToken     identifier.FencingToken
	MembersIndex  Index
	MembersFloor  Index
	ClaimSequence uint64
	Quarantined   Index
	Crashes       []Crash
	Counts        snapshotCounts
}

// snapshotCounts are the lengths of the lists.
type snapshotCounts struct {
	History  int
	Answers  int
	Members  int
	Departed int
	Claims   int
	Origin   int
	Suspects int
}

type (
	historyFrame  struct{ Records []Record }
	answersFrame  struct{ Answers []answered }
	membersFrame  struct{ Members []Member }
	departedFrame struct{ Departed []Departed }
	claimsFrame   struct{ Claims []ClaimRecord }
	originFrame   struct{ Budgets []originBudget }
	suspectsFrame struct{ Suspects []Suspect }
)

var snapshotCodec = sync.OnceValue(func() *encoder.Codec {
	return mustCodec([]encoder.Entry{
		encoder.Message[snapshotHead]("Head"),
		encoder.Message[historyFrame]("History"),
		encoder.Message[answersFrame]("Answers"),
		encoder.Message[membersFrame]("Members"),
		encoder.Message[departedFrame]("Departed"),
		encoder.Message[claimsFrame]("Claims"),
		encoder.Message[originFrame]("Origin"),
		encoder.Message[suspectsFrame]("Suspects"),
	})
})

// Snapshot returns the whole state.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := &s.core
	w := &frameWriter{}
	w.write(c.head())
	writeList(w, largeElements, c.patches.history, func(list []Record) any { return historyFrame{list} })
	writeList(w, largeElements, c.patches.answerList(), func(list []answered) any { return answersFrame{list} })
	writeList(w, largeElements, valuesOf(c.members.live), func(list []Member) any { return membersFrame{list} })
	writeList(w, smallElements, sortedValues(c.members.departed), func(list []Departed) any { return departedFrame{list} })
	writeList(w, smallElements, c.claims.list(), func(list []ClaimRecord) any { return claimsFrame{list} })
	writeList(w, largeElements, c.origin.list(), func(list []originBudget) any { return originFrame{list} })
	writeList(w, smallElements, c.quarantine.list().List, func(list []Suspect) any { return suspectsFrame{list} })
	return w.finish()
}

func (c *core) head() snapshotHead {
	return snapshotHead{
		Index:         c.index,
		Now:           c.now,
		Configuration: c.patches.current,
		LastToken:     c.members.lastToken,
		MembersIndex:  c.members.changed,
		MembersFloor:  c.members.floor,
		ClaimSequence: c.claims.sequence,
		Quarantined:   c.quarantine.changed,
		Crashes:       c.quarantine.crashes,
		Counts: snapshotCounts{
			History:  len(c.patches.history),
			Answers:  len(c.patches.answerOrder),
			Members:  len(c.members.live),
			Departed: len(c.members.departed),
			Claims:   len(c.claims.records),
			Origin:   len(c.origin.budgets),
			Suspects: len(c.quarantine.suspects),
		},
	}
}

// Restore replaces the whole state. Bytes that are no whole snapshot, or that
// would go back a version, are an error and change nothing.
func (s *State) Restore(data []byte) error {
	restored, err := readSnapshot(data)
	if err != nil {
		return explainer.Wrap(err, explainer.Corrupt, "snapshot can't be read", "take the snapshot of another replica")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rises := s.assert.Check(asserter.VersionsOnlyRise, restored.patches.current.Version >= s.core.patches.current.Version,
		fmt.Sprintf("snapshot goes back from version %d to %d", s.core.patches.current.Version, restored.patches.current.Version))
	if !rises {
		return explainer.New(explainer.Fenced, "snapshot is older than the state", "take a newer snapshot")
	}
	s.core = *restored
	return nil
}

func readSnapshot(data []byte) (*core, error) {
	body := len(data) - sha256.Size
	if body < 0 {
		return nil, fmt.Errorf("it ends early")
	}
	if sum := sha256.Sum256(data[:body]); !bytes.Equal(sum[:], data[body:]) {
		return nil, fmt.Errorf("its digest doesn't match")
	}
	r := &snapshotReader{core: newCore()}
	rest := data[:body]
	for len(rest) > 0 {
		if len(rest) < lengthSize {
			return nil, fmt.Errorf("a frame ends early")
		}
		n := int(binary.BigEndian.Uint32(rest))
		rest = rest[lengthSize:]
		if n > len(rest) {
			return nil, fmt.Errorf("a frame ends early")
		}
		if err := r.frame(rest[:n]); err != nil {
			return nil, err
		}
		rest = rest[n:]
	}
	return r.finish()
}

// snapshotReader puts the state together again.
type snapshotReader struct {
	core core
	head *snapshotHead
}

func (r *snapshotReader) frame(data []byte) error {
	_, msg, err := snapshotCodec().Decode(data)
	if err != nil {
		return err
	}
	if head, ok := msg.(*snapshotHead); ok {
		r.takeHead(head)
		return nil
	}
	if r.head == nil {
		return fmt.Errorf("its first frame is not the head")
	}
	c := &r.core
	switch m := msg.(type) {
	case *historyFrame:
		c.patches.history = append(c.patches.history, m.Records...)
	case *answersFrame:
		c.patches.restoreAnswers(m.Answers)
	case *membersFrame:
		for _, member := range m.Members {
			c.members.live[member.Upstream] = &member
		}
	case *departedFrame:
		for _, departed := range m.Departed {
			c.members.departed[departed.Upstream] = departed
		}
	case *claimsFrame:
		for _, record := range m.Claims {
			c.claims.restore(&record)
		}
	case *originFrame:
		for _, budget := range m.Budgets {
			c.origin.budgets[budget.Manifest] = &budget
		}
	case *suspectsFrame:
		for _, suspect := range m.Suspects {
			c.quarantine.suspects[suspect.Fingerprint] = suspect
		}
	}
	return nil
}

func (r *snapshotReader) takeHead(head *snapshotHead) {
	r.head = head
	c := &r.core
	c.index = head.Index
	c.now = head.Now
	c.patches.current = head.Configuration
	c.members.lastToken = head.LastToken
	c.members.changed = head.MembersIndex
	c.members.floor = head.MembersFloor
	c.claims.sequence = head.ClaimSequence
	c.quarantine.changed = head.Quarantined
	for _, crash := range head.Crashes {
		c.quarantine.see(crash)
	}
}

// finish checks that every list is whole.
func (r *snapshotReader) finish() (*core, error) {
	if r.head == nil {
		return nil, fmt.Errorf("it has no head")
	}
	if counts := r.core.head().Counts; counts != r.head.Counts {
		return nil, fmt.Errorf("it holds %+v and should hold %+v", counts, r.head.Counts)
	}
	if err := r.core.patches.restoreHistory(); err != nil {
		return nil, err
	}
	r.core.claims.restoreQueues()
	return &r.core, nil
}

// restoreHistory checks that the versions follow one another to the current one.
func (p *patches) restoreHistory() error {
	first := p.current.Version + 1 - identifier.ConfigurationVersion(len(p.history))
	for i, record := range p.history {
		if record.Version != first+identifier.ConfigurationVersion(i) {
			return fmt.Errorf("its history has a gap at version %d", record.Version)
		}
		p.historySize += recordSize(record)
	}
	return nil
}

func (p *patches) answerList() []answered {
	list := make([]answered, 0, len(p.answerOrder))
	for _, id := range p.answerOrder {
		list = append(list, p.answers[id])
	}
	return list
}

func (p *patches) restoreAnswers(list []answered) {
	for _, a := range list {
		p.answers[a.Answer.ID] = a
		p.answerOrder = append(p.answerOrder, a.Answer.ID)
		p.answersSize += answerSize(a.Answer)
	}
}

// list returns the claims in the order of their tokens.
func (c *claims) list() []ClaimRecord {
	list := make([]ClaimRecord, 0, len(c.records))
	for _, record := range c.records {
		list = append(list, *record)
	}
	slices.SortFunc(list, func(a, b ClaimRecord) int { return cmp.Compare(a.Token, b.Token) })
	return list
}

func (c *claims) restore(record *ClaimRecord) {
	c.add(record)
	if record.State == ClaimHeld {
		c.hold(record)
	}
}

// restoreQueues puts the settled claims back in the order of their settlement.
func (c *claims) restoreQueues() {
	var settled []*ClaimRecord
	for _, record := range c.records {
		if record.State != ClaimHeld {
			settled = append(settled, record)
		}
	}
	slices.SortFunc(settled, func(a, b *ClaimRecord) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, record := range settled {
		entry := settlement{keyOf(&record.Claim), record.Sequence}
		c.settled[record.Organisation] = append(c.settled[record.Organisation], entry)
		if len(record.Answer) > 0 {
			c.answered = append(c.answered, entry)
			c.answers += identifier.ByteCount(len(record.Answer))
		}
	}
}

func (o *origin) list() []originBudget {
	list := make([]originBudget, 0, len(o.budgets))
	for _, manifest := range o.manifests() {
		list = append(list, *o.budgets[manifest])
	}
	return list
}

// valuesOf returns what a map points to, by key.
func valuesOf[K ~string, V any](m map[K]*V) []V {
	values := make([]V, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		values = append(values, *m[key])
	}
	return values
}

// sortedValues returns the values of a map, by key.
func sortedValues[K ~string, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[key])
	}
	return values
}
