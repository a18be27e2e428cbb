package declarer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/asserter"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

// runModel declares that the only engine runs the model.
func (h *harness) runModel(t require.TestingT, version identifier.ConfigurationVersion, model identifier.Model) {
	d := declaration(version)
	d.Services["drafting"] = declarer.Service{Engine: &declarer.Engine{Slots: 16, Model: model}}
	require.Equal(t, &declarer.Answer{Changed: true, Version: version}, h.apply(t, &declarer.Replace{Declaration: d}))
}

func (h *harness) pin(t require.TestingT, model identifier.Model, n declarer.ReleaseNumber, digests int) {
	pinned := declarer.Pinned{Number: n, ChunkSize: 1, Digests: make([]identifier.Digest, digests)}
	require.IsType(t, &declarer.Answer{}, h.apply(t, &declarer.PinRelease{Model: model, Pinned: pinned}))
}

// snapshotSize returns the size of the state in a snapshot, which can be restored.
func (h *harness) snapshotSize(t require.TestingT) int {
	data, err := h.state.Snapshot()
	require.NoError(t, err)
	restored := declarer.New(asserter.Strict{})
	require.NoError(t, restored.Restore(data))
	require.Equal(t, h.state.Declared().Followed(), restored.Declared().Followed())
	return len(data)
}

// Guards against digests of all models that were ever declared: each process that fetches the
// declared state gets them, in a message of bounded size, and each new mirror their chunks.
func TestRemovedModelsKeepNoDigests(t *testing.T) {
	const models, digests = 300, 1000
	h := newHarness()
	h.runModel(t, 1, "m-1")
	h.pin(t, "m-1", 1, digests)
	once := h.snapshotSize(t)
	for i := identifier.ConfigurationVersion(2); i <= models; i++ {
		model := identifier.Model(fmt.Sprint("m-", i))
		h.runModel(t, i, model)
		h.apply(t, &declarer.NameRelease{Model: model, Number: 2})
		h.pin(t, model, 2, digests)
	}
	size := h.snapshotSize(t)
	t.Logf("%d bytes after one model, %d after %d", once, size, models)
	require.Less(t, size, 6*once)
	require.Len(t, h.state.Declared().Followed(), 5, "the declared model, and the last ones before it")
	require.EqualValues(t, 2, h.state.Declared().Releases["m-7"].Wanted, "a release never goes back")
	require.NotEmpty(t, h.state.Declared().Releases["m-299"].Pins, "a declaration that is taken back needs them at once")
}

// Guards against a list of models that grows for as long as a deployment runs.
func TestNamedModelsAreBounded(t *testing.T) {
	h := newHarness()
	h.replace(t, 1)
	for i := range 1100 {
		h.apply(t, &declarer.NameRelease{Model: identifier.Model(fmt.Sprintf("m-%04d", i)), Number: 3})
	}
	releases := h.state.Declared().Releases
	require.LessOrEqual(t, len(releases), 1025)
	require.Contains(t, releases, identifier.Model("summaries"), "a service runs it")
	require.Contains(t, releases, identifier.Model("m-1099"))
	t.Logf("%d models, %d bytes", len(releases), h.snapshotSize(t))
}

// Guards against a model that is declared again and gets no digests, since those that come for it
// are ignored while no service runs it.
func TestModelThatIsDeclaredAgainIsPinned(t *testing.T) {
	h := newHarness()
	for i := identifier.ConfigurationVersion(1); i <= 10; i++ {
		h.runModel(t, i, identifier.Model(fmt.Sprint("m-", i)))
	}
	h.pin(t, "m-1", 1, 8)
	require.Empty(t, h.state.Declared().Releases["m-1"].Pins)
	h.runModel(t, 11, "m-1")
	require.Contains(t, h.state.Declared().Followed(), identifier.Model("m-1"))
	h.pin(t, "m-1", 1, 8)
	require.Len(t, h.state.Declared().Releases["m-1"].Pins, 1)
}
