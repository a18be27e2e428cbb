package controller

import (
	"fmt"

	"celeryvalve/asserter"
	"celeryvalve/configurer"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

const (
	// PatchAnswersKept is for how many of the latest patches a resend gets its
	// first answer. A patch that is resent later meets a Conflict, since its base
	// is old: it is never applied twice.
	PatchAnswersKept = 4096
	// PatchAnswersBudget bounds the size of those answers together.
	PatchAnswersBudget identifier.ByteCount = 16 << 20
	// HistoryKept is how many of the latest versions can be shown.
	HistoryKept = 1024
	// HistoryBudget bounds the size of the history.
	HistoryBudget identifier.ByteCount = 16 << 20
	// MaximumChanges is how many changes an answer or a record lists.
	MaximumChanges = 256
	// MaximumFaults bounds the text of an answer's faults.
	MaximumFaults identifier.ByteCount = 32 << 10
)

// Record is one version of the history.
type Record struct {
	Summary
	Changes   []configurer.Change
	Truncated bool // Changes are not all
	Source    []byte
	// Undo leads to the version before.
	Undo configurer.Delta
}

// answered is the first answer to a patch.
type answered struct {
	Digest identifier.Digest // of the patch
	Answer PatchAnswer
}

// patches holds the configuration and what became of the patches to it.
type patches struct {
	current     configurer.Configuration
	history     []Record // oldest first, without a gap up to the current version
	historySize identifier.ByteCount
	answers     map[identifier.PatchID]answered
	answerOrder []identifier.PatchID // oldest first
	answersSize identifier.ByteCount
}

func newPatches() patches {
	return patches{current: configurer.New(), answers: make(map[identifier.PatchID]answered)}
}

// submit answers a patch, the first time by applying it.
func (s *State) submit(patch configurer.Patch) any {
	p := &s.core.patches
	if patch.ID == "" {
		return &Rejected{Kind: explainer.InvalidInput, Problem: "patch has no ID",
			Remedy: "give each patch an ID of its own, and resend it under the same one"}
	}
	if first, ok := p.answers[patch.ID]; ok {
		return resentAnswer(first, patch)
	}
	answer := s.decide(patch)
	p.keepAnswer(patch, answer)
	return &answer
}

func resentAnswer(first answered, patch configurer.Patch) any {
	if first.Digest != patch.Digest() {
		return &Rejected{Kind: explainer.InvalidInput, Problem: fmt.Sprintf("patch ID %q belongs to another patch", patch.ID),
			Remedy: "give each patch an ID of its own"}
	}
	answer := first.Answer
	answer.Resent = true
	return &answer
}

func (s *State) decide(patch configurer.Patch) PatchAnswer {
	p := &s.core.patches
	next, err := configurer.Apply(p.current, patch)
	switch {
	case err == nil:
		return s.accept(patch, next)
	case explainer.KindOf(err) == explainer.Conflict:
		return p.conflict(patch)
	default:
		faults := err.Error()
		if len(faults) > int(MaximumFaults) {
			faults = faults[:MaximumFaults]
		}
		return PatchAnswer{ID: patch.ID, Outcome: Refused, Version: p.current.Version, Faults: faults}
	}
}

func (s *State) accept(patch configurer.Patch, next configurer.Configuration) PatchAnswer {
	p := &s.core.patches
	rises := s.assert.Check(asserter.VersionsOnlyRise, next.Version == p.current.Version+1,
		fmt.Sprintf("version %d follows %d", next.Version, p.current.Version))
	if !rises {
		return PatchAnswer{ID: patch.ID, Outcome: Refused, Version: p.current.Version,
			Faults: "the next version can't be numbered (report this)"}
	}
	changes, truncated := truncate(configurer.Diff(p.current, next))
	p.keepRecord(Record{
		Summary:   Summary{Version: next.Version, ID: patch.ID, Operator: patch.Operator, At: s.core.now},
		Changes:   changes,
		Truncated: truncated,
		Source:    patch.Source,
		Undo:      configurer.Between(next, p.current),
	})
	p.current = next
	s.core.origin.follow(next)
	return PatchAnswer{ID: patch.ID, Outcome: Accepted, Version: next.Version, Changes: changes, Truncated: truncated}
}

// conflict names the patch that was accepted on the same base, and what changed
// since the base.
func (p *patches) conflict(patch configurer.Patch) PatchAnswer {
	answer := PatchAnswer{ID: patch.ID, Outcome: Conflict, Version: p.current.Version}
	if record, ok := p.record(patch.Base + 1); ok {
		answer.Winner = record.Summary
	}
	base, err := p.show(patch.Base)
	if err != nil {
		answer.Truncated = true
		return answer
	}
	answer.Changes, answer.Truncated = truncate(configurer.Diff(base, p.current))
	return answer
}

func truncate(changes []configurer.Change) ([]configurer.Change, bool) {
	if len(changes) <= MaximumChanges {
		return changes, false
	}
	return changes[:MaximumChanges:MaximumChanges], true
}

func (p *patches) keepAnswer(patch configurer.Patch, answer PatchAnswer) {
	p.answers[patch.ID] = answered{Digest: patch.Digest(), Answer: answer}
	p.answerOrder = append(p.answerOrder, patch.ID)
	p.answersSize += answerSize(answer)
	for len(p.answerOrder) > PatchAnswersKept || p.answersSize > PatchAnswersBudget {
		oldest := p.answerOrder[0]
		p.answerOrder = p.answerOrder[1:]
		p.answersSize -= answerSize(p.answers[oldest].Answer)
		delete(p.answers, oldest)
	}
}

func (p *patches) keepRecord(record Record) {
	p.history = append(p.history, record)
	p.historySize += recordSize(record)
	for len(p.history) > 1 && (len(p.history) > HistoryKept || p.historySize > HistoryBudget) {
		p.historySize -= recordSize(p.history[0])
		p.history = p.history[1:]
	}
}

func answerSize(answer PatchAnswer) identifier.ByteCount {
	return changesSize(answer.Changes) + identifier.ByteCount(len(answer.Faults)+len(answer.ID))
}

// recordSize counts the changes twice, since Undo holds them too.
func recordSize(record Record) identifier.ByteCount {
	return 2*changesSize(record.Changes) + identifier.ByteCount(len(record.Source))
}

func changesSize(changes []configurer.Change) identifier.ByteCount {
	size := 0
	for _, c := range changes {
		size += len(c.Path) + len(c.Before) + len(c.After)
	}
	return identifier.ByteCount(size)
}

// record returns the history of a version.
func (p *patches) record(version identifier.ConfigurationVersion) (Record, bool) {
	if len(p.history) == 0 || version < p.history[0].Version || version > p.current.Version {
		return Record{}, false
	}
	return p.history[version-p.history[0].Version], true
}

func (p *patches) latest(n int) []Record {
	var records []Record
	for i := len(p.history) - 1; i >= 0 && len(records) < n; i-- {
		records = append(records, p.history[i])
	}
	return records
}

// show goes back from the current version to an earlier one.
func (p *patches) show(version identifier.ConfigurationVersion) (configurer.Configuration, error) {
	shown := p.current
	if version > shown.Version {
		return shown, explainer.New(explainer.NotFound, fmt.Sprintf("version %d does not exist yet", version),
			fmt.Sprintf("name a version up to %d", shown.Version))
	}
	for shown.Version > version {
		record, ok := p.record(shown.Version)
		if !ok {
			return shown, explainer.New(explainer.NotFound, fmt.Sprintf("version %d is no longer kept", version),
				fmt.Sprintf("name a version from %d on", shown.Version))
		}
		shown = shown.Rewind(record.Undo)
	}
	return shown, nil
}
