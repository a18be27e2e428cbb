package declarer

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"celeryvalve/asserter"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Revision counts the accepted changes of everything that is declared.
type Revision uint64

// Declared is the whole state at one revision. It is immutable.
type Declared struct {
	Revision    Revision
	Declaration Declaration
	Releases    map[identifier.Model]Release
}

// State is the replicated state machine. Apply, Snapshot and Restore are called
// by one goroutine; the other methods are safe beside them.
type State struct {
	assert asserter.Asserter

	mu       sync.RWMutex
	index    uint64
	now      Declared
	document []byte // packed
}

// snapshot is the state as it is stored.
type snapshot struct {
	Index    uint64
	Declared Declared
	Document []byte
}

// New returns the state of an empty log.
func New(assert asserter.Asserter) *State {
	return &State{assert: assert, now: Declared{Releases: make(map[identifier.Model]Release)}}
}

// Apply carries out one command and returns a pointer to its answer.
func (s *State) Apply(index uint64, at time.Time, data []byte) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index = index
	_, command, err := codec().Decode(data)
	if err != nil {
		return &Rejected{Problem: err.Error()}
	}
	switch c := command.(type) {
	case *packedReplace:
		return s.replace(at, c)
	case *NameRelease:
		return s.name(at, c.Model, c.Number)
	case *PinRelease:
		return s.pin(c)
	default:
		return &Rejected{Problem: fmt.Sprintf("command %T has no handler", command)}
	}
}

// replace takes a declaration of a higher version. One that is not higher is
// answered as accepted and changes nothing.
func (s *State) replace(at time.Time, c *packedReplace) any {
	declaration, err := c.declaration()
	if err == nil {
		err = declaration.Check()
	}
	if err != nil {
		return &Rejected{Problem: err.Error()}
	}
	if declaration.Version <= s.now.Declaration.Version {
		return s.answer(false)
	}
	next := s.next()
	next.Declaration = declaration
	s.now = next
	s.document = c.Document
	for _, name := range slices.Sorted(maps.Keys(declaration.Services)) {
		if engine := declaration.Services[name].Engine; engine != nil && engine.Model != "" {
			s.name(at, engine.Model, FirstRelease)
		}
	}
	return s.answer(true)
}

// FirstRelease is the release that is wanted before any is named.
const FirstRelease ReleaseNumber = 1

func (s *State) name(at time.Time, model identifier.Model, number ReleaseNumber) any {
	if model == "" || number == 0 {
		return &Rejected{Problem: "a release needs a model and a number from 1 up"}
	}
	release := s.now.Releases[model]
	if number <= release.Wanted {
		return s.answer(false)
	}
	release.Wanted = number
	names := append(slices.Clone(release.Names), Named{Number: number, At: at})
	release.Names = names[max(0, len(names)-namesKept):]
	s.setRelease(model, release)
	return s.answer(true)
}

func (s *State) pin(c *PinRelease) any {
	release, ok := s.now.Releases[c.Model]
	if !ok || len(c.Pinned.Digests) == 0 {
		return &Rejected{Problem: "a pin needs a release that was named, and its digests"}
	}
	if _, ok := release.Pin(c.Pinned.Number); ok || c.Pinned.Number > release.Wanted {
		return s.answer(false)
	}
	pins := append(slices.Clone(release.Pins), c.Pinned)
	slices.SortFunc(pins, func(a, b Pinned) int { return int(a.Number) - int(b.Number) })
	release.Pins = pins[max(0, len(pins)-pinsKept):]
	s.setRelease(c.Model, release)
	return s.answer(true)
}

func (s *State) setRelease(model identifier.Model, release Release) {
	next := s.next()
	next.Releases = maps.Clone(next.Releases)
	next.Releases[model] = release
	s.now = next
}

func (s *State) next() Declared {
	next := s.now
	next.Revision++
	return next
}

func (s *State) answer(changed bool) *Answer {
	return &Answer{Changed: changed, Version: s.now.Declaration.Version}
}

// Declared returns what is in force.
func (s *State) Declared() Declared {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.now
}

// PackedDocument returns the declaration in force as its operator wrote it, for
// UnpackDocument. It is empty before the first.
func (s *State) PackedDocument() []byte {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.document
}

// Snapshot returns the whole state.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return codec().Encode(0, snapshot{Index: s.index, Declared: s.now, Document: s.document})
}

// Restore replaces the whole state. A snapshot that would go back is an error
// and changes nothing.
func (s *State) Restore(data []byte) error {
	_, msg, err := codec().Decode(data)
	if err != nil {
		return err
	}
	restored, ok := msg.(*snapshot)
	if !ok {
		return explainer.New(explainer.Corrupt, fmt.Sprintf("a %T is no snapshot", msg), "take the snapshot of another replica")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rises := s.assert.Check(asserter.VersionsOnlyRise, restored.Declared.Revision >= s.now.Revision,
		fmt.Sprintf("snapshot goes back from revision %d to %d", s.now.Revision, restored.Declared.Revision))
	if !rises {
		return explainer.New(explainer.Fenced, "snapshot is older than the state", "take a newer snapshot")
	}
	s.index = restored.Index
	s.now = restored.Declared
	if s.now.Releases == nil {
		s.now.Releases = make(map[identifier.Model]Release)
	}
	s.document = restored.Document
	return nil
}
