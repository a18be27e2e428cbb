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

// requireEqualStates compares the replica that was restored with its mirror.
func (w *claimWorld) requireEqualStates() {
	requireEqualStates(w.t, w.state, w.mirror)
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

// operatorWorld is operators who race on what they last read, and resend what they
// got no answer to.
type operatorWorld struct {
	*replica
	mirror   *controller.State
	bases    []identifier.ConfigurationVersion // what each operator read last
	patches  []configurer.Patch
	answers  map[identifier.PatchID]controller.PatchAnswer
	digests  map[identifier.ConfigurationVersion]identifier.Digest
	winners  map[identifier.ConfigurationVersion]identifier.PatchID // by base
	versions identifier.ConfigurationVersion
}

func (w *operatorWorld) submitAny(patch configurer.Patch) {
	command := &controller.SubmitPatch{Patch: patch}
	answer, ok := w.apply(command).(*controller.PatchAnswer)
	require.True(w.t, ok)
	data, err := controller.EncodeCommand(command)
	require.NoError(w.t, err)
	require.Equal(w.t, answer, w.mirror.Apply(w.index, w.now, data))
	if first, ok := w.answers[patch.ID]; ok {
		require.True(w.t, answer.Resent)
		again := *answer
		again.Resent = false
		require.Equal(w.t, first, again)
	} else {
		w.firstAnswer(patch, *answer)
	}
	w.check()
}

func (w *operatorWorld) firstAnswer(patch configurer.Patch, answer controller.PatchAnswer) {
	w.answers[patch.ID] = answer
	switch answer.Outcome {
	case controller.Accepted:
		require.NotContains(w.t, w.winners, patch.Base, "two patches won on one base")
		require.Equal(w.t, patch.Base+1, answer.Version)
		w.winners[patch.Base] = patch.ID
		w.versions++
	case controller.Conflict:
		require.NotEqual(w.t, w.versions, patch.Base)
		require.Equal(w.t, w.winners[patch.Base], answer.Winner.ID)
	case controller.Refused:
		require.Equal(w.t, w.versions, patch.Base)
		require.NotEmpty(w.t, answer.Faults)
	}
}

// check: versions only rise, and no two configurations bear one version.
func (w *operatorWorld) check() {
	cfg := w.state.Configuration()
	require.Equal(w.t, w.versions, cfg.Version)
	if digest, ok := w.digests[cfg.Version]; ok {
		require.Equal(w.t, digest, cfg.Digest())
	}
	w.digests[cfg.Version] = cfg.Digest()
}

func (w *operatorWorld) drawPatch(t *rapid.T) configurer.Patch {
	operator := rapid.IntRange(0, len(w.bases)-1).Draw(t, "operator")
	source := rapid.SampledFrom([]string{
		"[Services.s%d]\nKind = \"Plain\"\nPriority = %d\n",
		"Remove = [\"Services.s%d\"]\n[Transfers]\nOriginCopies = %d\n",
		"[Services.s%d]\nKind = \"Engine\"\nPriority = %d\n",
	}).Draw(t, "source")
	return configurer.Patch{
		ID:       identifier.PatchID(fmt.Sprint("p", len(w.patches))),
		Base:     w.bases[operator],
		Operator: identifier.Operator(fmt.Sprint("o", operator)),
		Source:   fmt.Appendf(nil, source, rapid.IntRange(0, 3).Draw(t, "service"), rapid.IntRange(1, 9).Draw(t, "value")),
	}
}

func (w *operatorWorld) actions() map[string]func(*rapid.T) {
	submit := func(t *rapid.T) {
		patch := w.drawPatch(t)
		w.patches = append(w.patches, patch)
		w.submitAny(patch)
	}
	return map[string]func(*rapid.T){
		"submit":      submit,
		"submit more": submit,
		"read": func(t *rapid.T) {
			w.bases[rapid.IntRange(0, len(w.bases)-1).Draw(t, "operator")] = w.state.Configuration().Version
		},
		"resend": func(t *rapid.T) {
			if len(w.patches) == 0 {
				t.Skip("no patch yet")
			}
			w.submitAny(w.patches[rapid.IntRange(0, len(w.patches)-1).Draw(t, "patch")])
		},
		"restore": func(*rapid.T) { w.restart() },
		"show": func(t *rapid.T) {
			version := rapid.SampledFrom(slices.Sorted(maps.Keys(w.digests))).Draw(t, "version")
			shown, err := w.state.ShowVersion(version)
			require.NoError(t, err)
			require.Equal(t, version, shown.Version)
			require.Equal(t, w.digests[version], shown.Digest())
		},
	}
}

func TestPatchesAreAcceptedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &operatorWorld{
			replica: newReplica(t),
			mirror:  controller.New(asserter.Strict{}),
			bases:   make([]identifier.ConfigurationVersion, 3),
			answers: make(map[identifier.PatchID]controller.PatchAnswer),
			digests: make(map[identifier.ConfigurationVersion]identifier.Digest),
			winners: make(map[identifier.ConfigurationVersion]identifier.PatchID),
		}
		w.check()
		t.Repeat(w.actions())
		requireEqualStates(t, w.state, w.mirror)
	})
}
