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
	"celeryvalve/quarantiner"
)

// A snapshot is a sequence of frames followed by the SHA-256 of all of them. Each
// frame is preceded by its length in four bytes, in big-endian order. Lists are
// split into frames with a bounded number of elements. The first frame is the
// header, which contains the number of elements of each list.

const (
	// smallElementsPerFrame is the maximum number of elements in a frame of a list
	// whose elements are small.
	smallElementsPerFrame = 64
	// largeElementsPerFrame is the same for a list whose elements may be several
	// megabytes each.
	largeElementsPerFrame = 1
)

const lengthSize = 4 // bytes

// snapshotHeader is the first frame of a snapshot.
type snapshotHeader struct {
	Index         Index
	Now           Instant
	Configuration configurer.Configuration
	LastToken     identifier.FencingToken
	MembersIndex  Index
	MembersFloor  Index
	ClaimSequence uint64
	Quarantined   Index
	Crashes       []quarantiner.ReportID
	Counts        snapshotCounts
}

// snapshotCounts contains the lengths of the lists.
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
	answersFrame  struct{ Answers []storedAnswer }
	membersFrame  struct{ Members []Member }
	departedFrame struct{ Departed []Departed }
	claimsFrame   struct{ Claims []ClaimRecord }
	originFrame   struct{ Budgets []originBudget }
	suspectsFrame struct{ Suspects []quarantiner.Suspect }
)

var snapshotCodec = sync.OnceValue(func() *encoder.Codec {
	return must(encoder.NewForSnapshots(
		encoder.Message[snapshotHeader]("Head"),
		encoder.Message[historyFrame]("History"),
		encoder.Message[answersFrame]("Answers"),
		encoder.Message[membersFrame]("Members"),
		encoder.Message[departedFrame]("Departed"),
		encoder.Message[claimsFrame]("Claims"),
		encoder.Message[originFrame]("Origin"),
		encoder.Message[suspectsFrame]("Suspects"),
	))
})

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := &s.core
	w := &frameWriter{}
	w.write(c.header())
	writeList(w, largeElementsPerFrame, c.patches.history, func(list []Record) any { return historyFrame{list} })
	writeList(w, largeElementsPerFrame, c.patches.answerList(), func(list []storedAnswer) any { return answersFrame{list} })
	writeList(w, largeElementsPerFrame, sortedPointees(c.members.live), func(list []Member) any { return membersFrame{list} })
	writeList(w, smallElementsPerFrame, sortedValues(c.members.departed), func(list []Departed) any { return departedFrame{list} })
	writeList(w, smallElementsPerFrame, c.claims.list(), func(list []ClaimRecord) any { return claimsFrame{list} })
	writeList(w, largeElementsPerFrame, c.origin.list(), func(list []originBudget) any { return originFrame{list} })
	writeList(w, smallElementsPerFrame, c.quarantine.List(), func(list []quarantiner.Suspect) any { return suspectsFrame{list} })
	return w.finish()
}

func (c *core) header() snapshotHeader {
	return snapshotHeader{
		Index:         c.index,
		Now:           c.now,
		Configuration: c.patches.current,
		LastToken:     c.members.lastToken,
		MembersIndex:  c.members.changed,
		MembersFloor:  c.members.floor,
		ClaimSequence: c.claims.sequence,
		Quarantined:   Index(c.quarantine.Changed()),
		Crashes:       c.quarantine.Reports(),
		Counts: snapshotCounts{
			History:  len(c.patches.history),
			Answers:  len(c.patches.answerOrder),
			Members:  len(c.members.live),
			Departed: len(c.members.departed),
			Claims:   len(c.claims.records),
			Origin:   len(c.origin.budgets),
			Suspects: c.quarantine.Len(),
		},
	}
}

// Restore replaces the whole state by a snapshot. It returns an error of kind
// Corrupt if the snapshot is incomplete or damaged, and of kind Fenced if its
// configuration is older than the current one. An error leaves the state unchanged.
func (s *State) Restore(data []byte) error {
	restored, err := readSnapshot(data)
	if err != nil {
		return explainer.Wrap(err, explainer.Corrupt, "snapshot can't be read", "restore the snapshot of another replica")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	increases := s.assert.Check(asserter.VersionsOnlyRise, restored.patches.current.Version >= s.core.patches.current.Version,
		fmt.Sprintf("snapshot would set the configuration back from version %d to %d", s.core.patches.current.Version, restored.patches.current.Version))
	if !increases {
		return explainer.New(explainer.Fenced, "snapshot is older than the state", "restore a newer snapshot")
	}
	s.core = *restored
	return nil
}

func readSnapshot(data []byte) (*core, error) {
	body := len(data) - sha256.Size
	if body < 0 {
		return nil, fmt.Errorf("it is shorter than its digest")
	}
	if sum := sha256.Sum256(data[:body]); !bytes.Equal(sum[:], data[body:]) {
		return nil, fmt.Errorf("its digest doesn't match")
	}
	r := &snapshotReader{core: newCore()}
	rest := data[:body]
	for len(rest) > 0 {
		if len(rest) < lengthSize {
			return nil, fmt.Errorf("the length of a frame is truncated")
		}
		n := int(binary.BigEndian.Uint32(rest))
		rest = rest[lengthSize:]
		if n > len(rest) {
			return nil, fmt.Errorf("a frame is truncated")
		}
		if err := r.readFrame(rest[:n]); err != nil {
			return nil, err
		}
		rest = rest[n:]
	}
	return r.finish()
}

// snapshotReader rebuilds the state from the frames of a snapshot.
type snapshotReader struct {
	core   core
	header *snapshotHeader
}

func (r *snapshotReader) readFrame(data []byte) error {
	_, msg, err := snapshotCodec().Decode(data)
	if err != nil {
		return err
	}
	if header, ok := msg.(*snapshotHeader); ok {
		r.readHeader(header)
		return nil
	}
	if r.header == nil {
		return fmt.Errorf("its first frame is not the header")
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
		c.quarantine.RestoreSuspects(m.Suspects)
	}
	return nil
}

func (r *snapshotReader) readHeader(header *snapshotHeader) {
	r.header = header
	c := &r.core
	c.index = header.Index
	c.now = header.Now
	c.patches.current = header.Configuration
	c.members.lastToken = header.LastToken
	c.members.changed = header.MembersIndex
	c.members.floor = header.MembersFloor
	c.claims.sequence = header.ClaimSequence
	c.quarantine.RestoreReports(header.Crashes, quarantiner.Revision(header.Quarantined))
}

// finish checks that every list is complete, and rebuilds the claim queues.
func (r *snapshotReader) finish() (*core, error) {
	if r.header == nil {
		return nil, fmt.Errorf("it has no header")
	}
	if counts := r.core.header().Counts; counts != r.header.Counts {
		return nil, fmt.Errorf("its lists have the lengths %+v, but its header requires %+v", counts, r.header.Counts)
	}
	if err := r.core.patches.restoreHistory(); err != nil {
		return nil, err
	}
	r.core.claims.restoreQueues()
	return &r.core, nil
}

// restoreHistory checks that the history has no gaps up to the current version, and
// computes its size.
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

func (p *patches) answerList() []storedAnswer {
	list := make([]storedAnswer, 0, len(p.answerOrder))
	for _, id := range p.answerOrder {
		list = append(list, p.answers[id])
	}
	return list
}

func (p *patches) restoreAnswers(list []storedAnswer) {
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
		c.addHeld(record)
	}
}

// restoreQueues rebuilds the queues of settled claims, in the order of their
// settlement.
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
			c.answersSize += identifier.ByteCount(len(record.Answer))
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

// sortedPointees returns the values that the map's pointers refer to, ordered by
// key.
func sortedPointees[K ~string, V any](m map[K]*V) []V {
	values := make([]V, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		values = append(values, *m[key])
	}
	return values
}

// sortedValues returns the values of the map, ordered by key.
func sortedValues[K ~string, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[key])
	}
	return values
}
