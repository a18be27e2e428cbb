package controller_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/asserter"
	"celeryvalve/configurer"
	"celeryvalve/controller"
	"celeryvalve/identifier"
)

func (r *replica) assert() asserter.Asserter { return asserter.Strict{} }

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// requireEqualStates compares the replica, which was restored from snapshots, with
// its mirror.
func (s *claimSimulation) requireEqualStates() {
	requireEqualStates(s.t, s.state, s.mirror)
}

func requireEqualStates(t require.TestingT, a, b *controller.State) {
	require.Equal(t, framesOf(t, a), framesOf(t, b))
}

func framesOf(t require.TestingT, s *controller.State) []any {
	data, err := s.Snapshot()
	require.NoError(t, err)
	frames, err := controller.SnapshotFrames(data)
	require.NoError(t, err)
	return frames
}

// patchSimulation models operators that submit patches concurrently, each based on
// the version that it read last, and that resend patches.
type patchSimulation struct {
	*replica
	mirror       *controller.State
	readVersions []identifier.ConfigurationVersion // the version that each operator read last
	patches      []configurer.Patch
	answers      map[identifier.PatchID]controller.PatchAnswer
	digests      map[identifier.ConfigurationVersion]identifier.Digest
	winners      map[identifier.ConfigurationVersion]identifier.PatchID // accepted patch, by base
	accepted     identifier.ConfigurationVersion
}

func (s *patchSimulation) submitPatch(patch configurer.Patch) {
	command := &controller.SubmitPatch{Patch: patch}
	answer, ok := s.apply(command).(*controller.PatchAnswer)
	require.True(s.t, ok)
	data, err := controller.EncodeCommand(command)
	require.NoError(s.t, err)
	require.Equal(s.t, answer, s.mirror.Apply(s.index, s.now, data))
	if first, ok := s.answers[patch.ID]; ok {
		require.True(s.t, answer.Resent)
		again := *answer
		again.Resent = false
		require.Equal(s.t, first, again)
	} else {
		s.checkFirstAnswer(patch, *answer)
	}
	s.check()
}

func (s *patchSimulation) checkFirstAnswer(patch configurer.Patch, answer controller.PatchAnswer) {
	s.answers[patch.ID] = answer
	switch answer.Outcome {
	case controller.Accepted:
		require.NotContains(s.t, s.winners, patch.Base, "two patches were accepted on one base")
		require.Equal(s.t, patch.Base+1, answer.Version)
		s.winners[patch.Base] = patch.ID
		s.accepted++
	case controller.Conflict:
		require.NotEqual(s.t, s.accepted, patch.Base)
		require.Equal(s.t, s.winners[patch.Base], answer.Winner.ID)
	case controller.Refused:
		require.Equal(s.t, s.accepted, patch.Base)
		require.NotEmpty(s.t, answer.Faults)
	}
}

// check requires that the version is the number of accepted patches, and that two
// different configurations never have the same version.
func (s *patchSimulation) check() {
	cfg := s.state.Configuration()
	require.Equal(s.t, s.accepted, cfg.Version)
	if digest, ok := s.digests[cfg.Version]; ok {
		require.Equal(s.t, digest, cfg.Digest())
	}
	s.digests[cfg.Version] = cfg.Digest()
}

func (s *patchSimulation) drawPatch(t *rapid.T) configurer.Patch {
	operator := rapid.IntRange(0, len(s.readVersions)-1).Draw(t, "operator")
	source := rapid.SampledFrom([]string{
		"[Services.s%d]\nKind = \"Plain\"\nPriority = %d\n",
		"Remove = [\"Services.s%d\"]\n[Transfers]\nOriginCopies = %d\n",
		"[Services.s%d]\nKind = \"Engine\"\nPriority = %d\n",
	}).Draw(t, "source")
	return configurer.Patch{
		ID:       identifier.PatchID(fmt.Sprint("p", len(s.patches))),
		Base:     s.readVersions[operator],
		Operator: identifier.Operator(fmt.Sprint("o", operator)),
		Source:   fmt.Appendf(nil, source, rapid.IntRange(0, 3).Draw(t, "service"), rapid.IntRange(1, 9).Draw(t, "value")),
	}
}

func (s *patchSimulation) actions() map[string]func(*rapid.T) {
	submit := func(t *rapid.T) {
		patch := s.drawPatch(t)
		s.patches = append(s.patches, patch)
		s.submitPatch(patch)
	}
	return map[string]func(*rapid.T){
		"submit":      submit,
		"submit more": submit,
		"read": func(t *rapid.T) {
			s.readVersions[rapid.IntRange(0, len(s.readVersions)-1).Draw(t, "operator")] = s.state.Configuration().Version
		},
		"resend": func(t *rapid.T) {
			if len(s.patches) == 0 {
				t.Skip("no patch yet")
			}
			s.submitPatch(s.patches[rapid.IntRange(0, len(s.patches)-1).Draw(t, "patch")])
		},
		"restore": func(*rapid.T) { s.restart() },
		"show": func(t *rapid.T) {
			version := rapid.SampledFrom(slices.Sorted(maps.Keys(s.digests))).Draw(t, "version")
			shown, err := s.state.ConfigurationAt(version)
			require.NoError(t, err)
			require.Equal(t, version, shown.Version)
			require.Equal(t, s.digests[version], shown.Digest())
		},
	}
}

func TestPatchesAreAcceptedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &patchSimulation{
			replica:      newReplica(t),
			mirror:       controller.New(asserter.Strict{}),
			readVersions: make([]identifier.ConfigurationVersion, 3),
			answers:      make(map[identifier.PatchID]controller.PatchAnswer),
			digests:      make(map[identifier.ConfigurationVersion]identifier.Digest),
			winners:      make(map[identifier.ConfigurationVersion]identifier.PatchID),
		}
		s.check()
		t.Repeat(s.actions())
		requireEqualStates(t, s.state, s.mirror)
	})
}
