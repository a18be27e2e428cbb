package controller

import (
	"fmt"

	"celeryvalve/asserter"
	"celeryvalve/configurer"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

const (
	// MaximumPatchAnswers is the maximum number of stored answers to patches. A resent
	// patch whose answer is no longer stored is not applied twice: its base is old,
	// so it is answered with Conflict.
	MaximumPatchAnswers = 4096
	// PatchAnswersBudget is the maximum total size of those answers, which a new replica
	// fetches.
	PatchAnswersBudget = 2 * configurer.MaximumConfigurationSize
	// MaximumHistory is the maximum number of versions in the history.
	MaximumHistory = 1024
	// HistoryBudget is the maximum total size of the history, which a new replica fetches too.
	HistoryBudget = 2 * configurer.MaximumConfigurationSize
	// MaximumChanges is the maximum number of changes in an answer or a record.
	MaximumChanges = 256
	// MaximumFaultsSize is the maximum size of the faults in an answer.
	MaximumFaultsSize identifier.ByteCount = 32 << 10
)

// Record is the entry of one version in the history.
type Record struct {
	Summary
	Changes   []configurer.Change
	Truncated bool // Changes is not complete
	Source    []byte
	// Undo is the delta to the previous version.
	Undo configurer.Delta
}

// storedAnswer is the stored answer to a patch.
type storedAnswer struct {
	Digest identifier.Digest // of the patch
	Answer PatchAnswer
}

// patches is the configuration with its history, and the answers to recent patches.
type patches struct {
	current     configurer.Configuration
	history     []Record // oldest first, without gaps, up to the current version
	historySize identifier.ByteCount
	answers     map[identifier.PatchID]storedAnswer
	answerOrder []identifier.PatchID // oldest first
	answersSize identifier.ByteCount
}

func newPatches() patches {
	return patches{current: configurer.New(), answers: make(map[identifier.PatchID]storedAnswer)}
}

// submit applies a patch, or returns the stored answer if the patch was resent.
func (s *State) submit(patch configurer.Patch) any {
	p := &s.core.patches
	if patch.ID == "" {
		return &Rejected{Kind: explainer.InvalidInput, Problem: "patch has no ID",
			Remedy: "give each patch a unique ID, and use the same ID when it is resent"}
	}
	if first, ok := p.answers[patch.ID]; ok {
		return resentAnswer(first, patch)
	}
	answer := s.applyPatch(patch)
	p.storeAnswer(patch, answer)
	return &answer
}

func resentAnswer(first storedAnswer, patch configurer.Patch) any {
	if first.Digest != patch.Digest() {
		return &Rejected{Kind: explainer.InvalidInput, Problem: fmt.Sprintf("patch ID %q belongs to another patch", patch.ID),
			Remedy: "give each patch a unique ID"}
	}
	answer := first.Answer
	answer.Resent = true
	return &answer
}

func (s *State) applyPatch(patch configurer.Patch) PatchAnswer {
	p := &s.core.patches
	next, err := configurer.Apply(p.current, patch)
	switch {
	case err == nil:
		return s.accept(patch, next)
	case explainer.KindOf(err) == explainer.Conflict:
		return p.conflict(patch)
	default:
		faults := err.Error()
		if len(faults) > int(MaximumFaultsSize) {
			faults = faults[:MaximumFaultsSize]
		}
		return PatchAnswer{ID: patch.ID, Outcome: Refused, Version: p.current.Version, Faults: faults}
	}
}

func (s *State) accept(patch configurer.Patch, next configurer.Configuration) PatchAnswer {
	p := &s.core.patches
	increases := s.assert.Check(asserter.VersionsOnlyRise, next.Version == p.current.Version+1,
		fmt.Sprintf("version %d would follow version %d", next.Version, p.current.Version))
	if !increases {
		return PatchAnswer{ID: patch.ID, Outcome: Refused, Version: p.current.Version,
			Faults: "the next version is not one above the current version (report this as a bug)"}
	}
	changes, truncated := truncate(configurer.Diff(p.current, next))
	p.storeRecord(Record{
		Summary:   Summary{Version: next.Version, ID: patch.ID, Operator: patch.Operator, At: s.core.now},
		Changes:   changes,
		Truncated: truncated,
		Source:    patch.Source,
		Undo:      configurer.DeltaBetween(next, p.current),
	})
	p.current = next
	s.core.origin.applyConfiguration(next)
	return PatchAnswer{ID: patch.ID, Outcome: Accepted, Version: next.Version, Changes: changes, Truncated: truncated}
}

// conflict answers a patch whose base is not the current version. The answer
// contains the patch that was accepted on the same base, and the changes since that
// base.
func (p *patches) conflict(patch configurer.Patch) PatchAnswer {
	answer := PatchAnswer{ID: patch.ID, Outcome: Conflict, Version: p.current.Version}
	if record, ok := p.record(patch.Base + 1); ok {
		answer.Winner = record.Summary
	}
	base, err := p.configurationAt(patch.Base)
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

func (p *patches) storeAnswer(patch configurer.Patch, answer PatchAnswer) {
	p.answers[patch.ID] = storedAnswer{Digest: patch.Digest(), Answer: answer}
	p.answerOrder = append(p.answerOrder, patch.ID)
	p.answersSize += answerSize(answer)
	for len(p.answerOrder) > MaximumPatchAnswers || p.answersSize > PatchAnswersBudget {
		oldest := p.answerOrder[0]
		p.answerOrder = p.answerOrder[1:]
		p.answersSize -= answerSize(p.answers[oldest].Answer)
		delete(p.answers, oldest)
	}
}

func (p *patches) storeRecord(record Record) {
	p.history = append(p.history, record)
	p.historySize += recordSize(record)
	for len(p.history) > 1 && (len(p.history) > MaximumHistory || p.historySize > HistoryBudget) {
		p.historySize -= recordSize(p.history[0])
		p.history = p.history[1:]
	}
}

// answerSize returns the size of a stored answer in a snapshot.
func answerSize(answer PatchAnswer) identifier.ByteCount {
	return frameSize(answersFrame{[]storedAnswer{{Answer: answer}}}, PatchAnswersBudget)
}

// recordSize returns the size of a record in a snapshot. Most of it may be Undo, which holds
// whole objects.
func recordSize(record Record) identifier.ByteCount {
	return frameSize(historyFrame{[]Record{record}}, HistoryBudget)
}

// frameSize returns the size of a frame of a snapshot, or tooLarge if it can't be encoded.
func frameSize(frame any, tooLarge identifier.ByteCount) identifier.ByteCount {
	data, err := snapshotCodec().Encode(0, frame)
	if err != nil {
		return tooLarge
	}
	return identifier.ByteCount(len(data))
}

// record returns the record of a version, or false if the history doesn't contain
// it.
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

// configurationAt reconstructs an earlier version from the current one and the
// history.
func (p *patches) configurationAt(version identifier.ConfigurationVersion) (configurer.Configuration, error) {
	cfg := p.current
	if version > cfg.Version {
		return cfg, explainer.New(explainer.NotFound, fmt.Sprintf("version %d does not exist yet", version),
			fmt.Sprintf("choose a version up to %d", cfg.Version))
	}
	for cfg.Version > version {
		record, ok := p.record(cfg.Version)
		if !ok {
			return cfg, explainer.New(explainer.NotFound, fmt.Sprintf("version %d is no longer kept", version),
				fmt.Sprintf("choose version %d or a later one", cfg.Version))
		}
		cfg = cfg.Rewind(record.Undo)
	}
	return cfg, nil
}
