package loader_test

import (
	"flag"
	"io"
	"maps"
	"testing"
	"testing/fstest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/loader"
	"celeryvalve/verifier"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

func weights(t require.TestingT, adapter identifier.Adapter, version identifier.WeightVersion) verifier.Weights {
	files := fstest.MapFS{"w": {Data: []byte("weights of " + string(adapter) + string(version))}}
	m, err := verifier.Build(verifier.Description{Model: "m", Adapter: adapter, Version: version, ChunkSize: 8}, files)
	require.NoError(t, err)
	w, err := m.VerifyFiles(func(f verifier.File) (io.ReadCloser, error) { return files.Open(f.Path) })
	require.NoError(t, err)
	return w
}

func pinnedWeights(w verifier.Weights) loader.PinnedWeights {
	return loader.PinnedWeights{Version: w.Manifest().Version, Manifest: w.Manifest().Digest()}
}

// harness drives one loader with events and a manual clock.
type harness struct {
	t   *testing.T
	l   *loader.Loader
	now time.Time
}

func newHarness(t *testing.T, cfg loader.Config) *harness {
	return &harness{t: t, l: loader.New(cfg, asserter.Strict{}), now: time.Unix(1000, 0)}
}

// reduce feeds the events to the loader and returns the order that they cause, if any.
func (h *harness) reduce(events ...loader.Event) (order loader.SendOrder, sent bool) {
	for _, e := range events {
		h.now = h.now.Add(time.Millisecond)
		if s, ok := e.(loader.StateObserved); ok {
			s.RequestedAt = h.now
			e = s
		}
		for _, effect := range h.l.Reduce(h.now, e) {
			if o, ok := effect.(loader.SendOrder); ok {
				require.False(h.t, sent, "two orders at once")
				order, sent = o, true
			}
		}
	}
	return order, sent
}

func TestModelIsLoadedOnlyOnceItsWeightsAreVerified(t *testing.T) {
	h := newHarness(t, loader.DefaultConfig())
	w := weights(t, "", "2")
	desired := loader.Desired{Model: "m", Weights: pinnedWeights(w)}
	oldState := loader.StateObserved{State: loader.State{Model: "m", Version: "1", Ready: true}}
	_, sent := h.reduce(loader.DesiredChanged{Desired: desired}, loader.TokenGranted{Token: 3}, oldState)
	require.False(t, sent)
	_, sent = h.reduce(loader.WeightsVerified{Weights: weights(t, "", "3")})
	require.False(t, sent)
	order, sent := h.reduce(loader.WeightsVerified{Weights: w})
	require.True(t, sent)
	require.Equal(t, loader.SendOrder{ID: 1, Kind: loader.LoadModel, Model: "m", Version: "2", Token: 3, Weights: w}, order)
	_, sent = h.reduce(oldState, loader.OrderAccepted{ID: 1})
	require.False(t, sent, "a state from before the order was used")
	_, sent = h.reduce(loader.StateObserved{State: loader.State{Model: "m", Version: "2", Ready: true}})
	require.False(t, sent)
}

func TestWeightsWithoutProofAreRefused(t *testing.T) {
	h := newHarness(t, loader.DefaultConfig())
	require.Panics(t, func() { h.reduce(loader.WeightsVerified{}) })
}

func TestWeightsOfAnotherNameAreNotLoaded(t *testing.T) {
	h := newHarness(t, loader.DefaultConfig())
	w := weights(t, "", "2")
	desired := loader.Desired{Model: "m", Weights: loader.PinnedWeights{Version: "1", Manifest: w.Manifest().Digest()}}
	_, sent := h.reduce(loader.DesiredChanged{Desired: desired}, loader.TokenGranted{Token: 3},
		loader.WeightsVerified{Weights: w}, loader.StateObserved{})
	require.False(t, sent)
}

func TestFencedLoaderStopsUntilANewerToken(t *testing.T) {
	h := newHarness(t, loader.DefaultConfig())
	desired := loader.DesiredChanged{Desired: loader.Desired{}}
	state := loader.StateObserved{State: loader.State{Model: "m", Version: "1"}}
	_, sent := h.reduce(desired, loader.TokenGranted{Token: 3}, state)
	require.True(t, sent)
	_, sent = h.reduce(loader.OrderFenced{ID: 1, Current: 5}, state, loader.TokenGranted{Token: 4}, state)
	require.False(t, sent)
	order, sent := h.reduce(loader.TokenGranted{Token: 6})
	require.True(t, sent)
	require.EqualValues(t, 6, order.Token)
}

func TestWithoutFencingTheOldLeaseIsWaitedOut(t *testing.T) {
	cfg := loader.DefaultConfig()
	cfg.ChecksFencing = false
	h := newHarness(t, cfg)
	state := loader.StateObserved{State: loader.State{Model: "m", Version: "1"}}
	start := h.now
	token := loader.TokenGranted{Token: 3, PreviousExpires: start.Add(10 * time.Second), Expires: start.Add(20 * time.Second)}
	_, sent := h.reduce(loader.DesiredChanged{}, token, state)
	require.False(t, sent)
	h.now = start.Add(10 * time.Second)
	order, sent := h.reduce(loader.Ticked{})
	require.True(t, sent)
	require.Equal(t, token.Expires, order.Expires)
	_, _ = h.reduce(loader.OrderFailed{ID: order.ID})
	h.now = start.Add(20 * time.Second)
	_, sent = h.reduce(state, loader.Ticked{})
	require.False(t, sent, "an order was sent after the token's lease had expired")
}

func TestPausedRolloutLoadsNothing(t *testing.T) {
	h := newHarness(t, loader.DefaultConfig())
	w := weights(t, "", "2")
	desired := loader.Desired{Model: "m", Weights: pinnedWeights(w), Paused: true}
	_, sent := h.reduce(loader.DesiredChanged{Desired: desired}, loader.TokenGranted{Token: 3},
		loader.WeightsVerified{Weights: w}, loader.StateObserved{})
	require.False(t, sent)
	desired.Paused = false
	_, sent = h.reduce(loader.DesiredChanged{Desired: desired})
	require.True(t, sent)
}

// engineModel simulates an engine. The test decides which of its responses are lost.
type engineModel struct {
	state loader.State
}

func (e *engineModel) apply(o loader.SendOrder) loader.Event {
	if o.Token < e.state.FencingToken {
		return loader.OrderFenced{ID: o.ID, Current: e.state.FencingToken}
	}
	e.state.FencingToken = o.Token
	e.state.Adapters = maps.Clone(e.state.Adapters)
	switch o.Kind {
	case loader.LoadModel:
		e.state.Model, e.state.Version, e.state.Ready = o.Model, o.Version, true
	case loader.LoadAdapter:
		e.state.Adapters[o.Adapter] = o.Version
	case loader.UnloadModel:
		e.state.Model, e.state.Version, e.state.Ready = "", "", false
	case loader.UnloadAdapter:
		delete(e.state.Adapters, o.Adapter)
	case loader.SetRole:
		e.state.Role = o.Role
	}
	return loader.OrderAccepted{ID: o.ID}
}

func TestRandomRunsEndAtWhatIsDesired(t *testing.T) {
	versions := []identifier.WeightVersion{"1", "2", "3"}
	rapid.Check(t, func(t *rapid.T) {
		l := loader.New(loader.DefaultConfig(), asserter.Strict{})
		e := &engineModel{state: loader.State{Adapters: map[identifier.Adapter]identifier.WeightVersion{}}}
		now := time.Unix(1000, 0)
		verified := map[identifier.Digest]bool{}
		faults := true
		var feed func(event loader.Event)
		feed = func(event loader.Event) {
			if w, ok := event.(loader.WeightsVerified); ok {
				verified[w.Weights.Manifest().Digest()] = true
			}
			for _, effect := range l.Reduce(now, event) {
				switch effect := effect.(type) {
				case loader.PollState:
					feed(loader.StateObserved{State: e.state, RequestedAt: now})
				case loader.SendOrder:
					loads := effect.Kind == loader.LoadModel || effect.Kind == loader.LoadAdapter
					require.True(t, !loads || verified[effect.Weights.Manifest().Digest()])
					now = now.Add(time.Millisecond)
					switch {
					case faults && rapid.Bool().Draw(t, "lost before"):
						feed(loader.OrderFailed{ID: effect.ID})
					case faults && rapid.Bool().Draw(t, "lost after"):
						e.apply(effect)
						feed(loader.OrderFailed{ID: effect.ID})
					default:
						feed(e.apply(effect))
					}
				}
			}
		}
		token := identifier.FencingToken(1)
		desired := loader.Desired{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "wait")) * time.Millisecond)
			model := weights(t, "", rapid.SampledFrom(versions).Draw(t, "version"))
			adapter := weights(t, "a", rapid.SampledFrom(versions).Draw(t, "adapter version"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				desired = loader.Desired{Model: "m", Weights: pinnedWeights(model), Role: "Decode"}
				if rapid.Bool().Draw(t, "adapter") {
					desired.Adapters = map[identifier.Adapter]loader.PinnedWeights{"a": pinnedWeights(adapter)}
				}
				feed(loader.DesiredChanged{Desired: desired})
			case 1:
				feed(loader.WeightsVerified{Weights: model})
				feed(loader.WeightsVerified{Weights: adapter})
			case 2:
				e.state = loader.State{Adapters: map[identifier.Adapter]identifier.WeightVersion{}, FencingToken: e.state.FencingToken}
			case 3:
				token++
				feed(loader.TokenGranted{Token: token})
			case 4:
				feed(loader.StateUnknown{})
			}
			feed(loader.Ticked{})
		}
		faults = false
		feed(loader.TokenGranted{Token: token + 1})
		for _, v := range versions {
			feed(loader.WeightsVerified{Weights: weights(t, "", v)})
			feed(loader.WeightsVerified{Weights: weights(t, "a", v)})
		}
		feed(loader.DesiredChanged{Desired: desired})
		for range 20 {
			now = now.Add(time.Minute)
			feed(loader.Ticked{})
		}
		require.Equal(t, desired.Model, e.state.Model)
		require.Equal(t, desired.Weights.Version, e.state.Version)
		if desired.Model != "" {
			require.Len(t, e.state.Adapters, len(desired.Adapters))
		}
		for name, d := range desired.Adapters {
			require.Equal(t, d.Version, e.state.Adapters[name])
		}
	})
}
