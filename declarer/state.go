package declarer

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"celeryvalve/asserter"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
)

// Revision counts the accepted changes of the declaration, the releases and the evacuations.
type Revision uint64

// Declared is the declaration, the releases and the evacuations at one revision. It is immutable.
type Declared struct {
	Revision    Revision
	Declaration Declaration
	Releases    map[identifier.Model]Release
	Evacuations Evacuations `cbor:",omitempty"`
}

// State is the replicated state machine. Apply, Snapshot and Restore must be called
// from one goroutine; the other methods may be called concurrently with them.
type State struct {
	assert asserter.Asserter

	mu       sync.RWMutex
	index    uint64
	current  Declared
	document []byte // compressed
	orders   zoneOrders

	quarantine *quarantiner.Quarantine
	summary    quarantiner.Summary
	departures map[identifier.Upstream]RecordedDeparture
	// oldestDeparture is the time of the oldest of them, or earlier.
	oldestDeparture time.Time
}

const (
	// crashesUntilRefused is the number of upstreams that a request may crash on the
	// platform before its rules count further retries.
	crashesUntilRefused = 3
	// partCrashesUntilRefused is the same for a part of prompts. The rules count requests
	// from the fifth crash on; crashes that happen together count as one here.
	partCrashesUntilRefused = 4
	// resendMargin is longer than a commit takes on a disk of 5 ms a sync, many times over.
	resendMargin        = 150 * time.Millisecond
	quarantineRetention = 24 * time.Hour
	// maxSuspects bounds the summary, which every entry receives, to a few kilobytes.
	maxSuspects = 1024
)

func newQuarantine() *quarantiner.Quarantine {
	return quarantiner.New(quarantiner.Config{
		CrashesUntilRefused:     crashesUntilRefused,
		PartCrashesUntilRefused: partCrashesUntilRefused,
		ResendMargin:            resendMargin,
		Retention:               quarantineRetention,
		MaxSuspects:             maxSuspects,
	})
}

// snapshot is the encoding of State in a snapshot.
type snapshot struct {
	Index    uint64
	Declared Declared
	Document []byte
	Orders   zoneOrders             `cbor:",omitempty"`
	Suspects []quarantiner.Suspect  `cbor:",omitempty"`
	Crashes  []quarantiner.ReportID `cbor:",omitempty"`
	Evidence quarantiner.Evidence   `cbor:",omitempty"`
	// Quarantined is the revision of the quarantine.
	Quarantined quarantiner.Revision `cbor:",omitempty"`
	Departures  []RecordedDeparture  `cbor:",omitempty"`
}

// New returns the state before the first command.
func New(assert asserter.Asserter) *State {
	return &State{
		assert:     assert,
		current:    Declared{Releases: make(map[identifier.Model]Release)},
		quarantine: newQuarantine(),
		departures: make(map[identifier.Upstream]RecordedDeparture),
	}
}

// Apply applies one command of the log and returns a pointer to its answer: an Answer
// or a Rejected, a Superseded for an order to evacuate, or a quarantiner.Answer for a
// command about suspects.
func (s *State) Apply(index uint64, at time.Time, data []byte) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index = index
	_, command, err := logCodec().Decode(data)
	if err != nil {
		return &Rejected{Problem: err.Error()}
	}
	now, revision := quarantiner.Instant(at.UnixNano()), quarantiner.Revision(index)
	s.quarantine.Expire(now, revision)
	s.expireDepartures(at)
	defer s.summarise()
	switch c := command.(type) {
	case *encodedReplace:
		return s.replace(at, c)
	case *NameRelease:
		return s.setWanted(at, c.Model, c.Number)
	case *PinRelease:
		return s.pin(c)
	case *Evacuate:
		return s.evacuate(at, c)
	case *Depart:
		return s.depart(index, at, c)
	case *quarantiner.ReportCrash:
		return s.quarantine.Report(c, now, revision)
	case *quarantiner.ClearSuspects:
		return s.quarantine.Clear(c, now, revision)
	default:
		return &Rejected{Problem: fmt.Sprintf("command %T has no handler", command)}
	}
}

// summarise updates the summary of the quarantine after a change.
func (s *State) summarise() {
	if s.summary.Revision != s.quarantine.Changed() {
		s.summary = s.quarantine.Summary()
	}
}

// Quarantine returns the summary of the requests that crash upstreams.
func (s *State) Quarantine() quarantiner.Summary {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.summary
}

// replace puts a declaration of a higher version in force. A version that is not
// higher is acknowledged but changes nothing.
func (s *State) replace(at time.Time, c *encodedReplace) any {
	declaration, err := c.declaration()
	if err == nil {
		err = declaration.Check()
	}
	if err != nil {
		return &Rejected{Problem: err.Error()}
	}
	if declaration.Version <= s.current.Declaration.Version {
		return s.answer(false)
	}
	next := s.nextRevision()
	next.Declaration = declaration
	s.current = next
	s.document = c.Document
	for _, name := range slices.Sorted(maps.Keys(declaration.Services)) {
		if engine := declaration.Services[name].Engine; engine != nil && engine.Model != "" {
			s.setWanted(at, engine.Model, FirstRelease)
		}
	}
	s.dropSpare()
	return s.answer(true)
}

// FirstRelease is the wanted release of a model for which none was set.
const FirstRelease ReleaseNumber = 1

func (s *State) setWanted(at time.Time, model identifier.Model, number ReleaseNumber) any {
	if model == "" || number == 0 {
		return &Rejected{Problem: "the release has no model or its number is 0"}
	}
	release := s.current.Releases[model]
	if number <= release.Wanted {
		return s.answer(false)
	}
	release.Wanted = number
	names := append(slices.Clone(release.Names), WantedRelease{Number: number, At: at})
	release.Names = names[max(0, len(names)-maxNames):]
	s.setRelease(model, release)
	s.dropSpare()
	return s.answer(true)
}

func (s *State) pin(c *PinRelease) any {
	release, ok := s.current.Releases[c.Model]
	if !ok || len(c.Pinned.Digests) == 0 {
		return &Rejected{Problem: "the pin has no digests or its model has no wanted release"}
	}
	if _, ok := release.Pin(c.Pinned.Number); ok || c.Pinned.Number > release.Wanted {
		return s.answer(false)
	}
	if !slices.Contains(s.current.Followed(), c.Model) {
		return s.answer(false)
	}
	pins := append(slices.Clone(release.Pins), c.Pinned)
	slices.SortFunc(pins, func(a, b Pinned) int { return cmp.Compare(a.Number, b.Number) })
	release.Pins = pins[max(0, len(pins)-maxPins):]
	s.setRelease(c.Model, release)
	return s.answer(true)
}

func (s *State) setRelease(model identifier.Model, release Release) {
	next := s.nextRevision()
	next.Releases = maps.Clone(next.Releases)
	next.Releases[model] = release
	s.current = next
}

func (s *State) nextRevision() Declared {
	next := s.current
	next.Revision++
	return next
}

func (s *State) answer(changed bool) *Answer {
	return &Answer{Changed: changed, Version: s.current.Declaration.Version}
}

// Declared returns the current state.
func (s *State) Declared() Declared {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current
}

// CompressedDocument returns the compressed document of the declaration in force, as
// its operator wrote it. DecompressDocument decompresses it. It is empty if nothing was
// declared yet.
func (s *State) CompressedDocument() []byte {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.document
}

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return stateCodec().Encode(0, snapshot{
		Index:       s.index,
		Declared:    s.current,
		Document:    s.document,
		Orders:      s.orders,
		Suspects:    s.quarantine.List(),
		Crashes:     s.quarantine.Reports(),
		Evidence:    s.quarantine.Evidence(),
		Quarantined: s.quarantine.Changed(),
		Departures:  s.listDepartures(),
	})
}

// Restore replaces the whole state by a snapshot. A snapshot whose revision is
// lower than the current one is an error of kind Fenced and changes nothing.
func (s *State) Restore(data []byte) error {
	_, msg, err := stateCodec().Decode(data)
	if err != nil {
		return err
	}
	restored, ok := msg.(*snapshot)
	if !ok {
		return explainer.New(explainer.Corrupt, fmt.Sprintf("message is a %T, not a snapshot", msg), "restore the snapshot of another replica")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	increases := s.assert.Check(asserter.VersionsOnlyRise, restored.Declared.Revision >= s.current.Revision,
		fmt.Sprintf("snapshot would set the revision back from %d to %d", s.current.Revision, restored.Declared.Revision))
	if !increases {
		return explainer.New(explainer.Fenced, "snapshot is older than the state", "restore a newer snapshot")
	}
	s.index = restored.Index
	s.current = restored.Declared
	if s.current.Releases == nil {
		s.current.Releases = make(map[identifier.Model]Release)
	}
	s.document = restored.Document
	s.orders = restored.Orders
	s.quarantine = newQuarantine()
	s.quarantine.RestoreSuspects(restored.Suspects)
	s.quarantine.RestoreEvidence(restored.Evidence)
	s.quarantine.RestoreReports(restored.Crashes, restored.Quarantined)
	s.summarise()
	s.restoreDepartures(restored.Departures)
	return nil
}
