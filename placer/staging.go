package placer

import (
	"context"

	"go.uber.org/zap"

	"celeryvalve/declarer"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/registrar"
	"celeryvalve/stager"
)

// stage writes the chunks that the engine lacks and verifies all chunks by reading them
// back.
func (a *agent) stage(t target, chunks map[identifier.Digest][]byte) {
	ctx, cancel := context.WithTimeout(a.ctx, stageTimeout)
	defer cancel()
	began := a.clock.Now()
	written, err := a.stageChunks(ctx, t, chunks)
	if err != nil {
		a.log.Warn("Chunks can't be staged.", zap.Uint64("release", uint64(t.pinned.Number)), zap.Error(err))
	}
	a.reduce(stager.Staged{Release: t.pinned.Number, Verified: err == nil, Began: began, Written: written})
}

// stageChunks reports whether it may have written any chunk.
func (a *agent) stageChunks(ctx context.Context, t target, chunks map[identifier.Digest][]byte) (written bool, err error) {
	if chunks == nil {
		return false, errNotHeld
	}
	missing := t.allChunks()
	for attempt := 0; ; attempt++ {
		if missing, err = a.corruptChunks(ctx, t, missing); err != nil {
			return written, err
		}
		if len(missing) == 0 {
			return written, nil
		}
		if attempt == stageAttempts {
			return written, errCorrupt
		}
		for _, i := range missing {
			written = true
			if err := a.engine.StageChunk(ctx, t.model, i, chunks[t.pinned.Digests[i]]); err != nil {
				return written, err
			}
		}
	}
}

// allChunks returns the indices of the chunks.
func (t target) allChunks() []int {
	all := make([]int, len(t.pinned.Digests))
	for i := range all {
		all[i] = i
	}
	return all
}

// corruptChunks returns those of the chunks that do not match their pinned digest when
// they are read back.
func (a *agent) corruptChunks(ctx context.Context, t target, chunks []int) ([]int, error) {
	var corrupt []int
	for _, i := range chunks {
		data, err := a.engine.StagedChunk(ctx, t.model, i, t.pinned.ChunkSize)
		if err != nil {
			return nil, err
		}
		if identifier.DigestOf(data) != t.pinned.Digests[i] {
			corrupt = append(corrupt, i)
		}
	}
	return corrupt, nil
}

// verify reads back all chunks of a release that the engine has taken.
func (a *agent) verify(model identifier.Model, release declarer.ReleaseNumber) {
	ctx, cancel := context.WithTimeout(a.ctx, stageTimeout)
	defer cancel()
	pinned, ok := a.view.Declared().Releases[model].Pin(release)
	if !ok {
		a.log.Warn("Can't verify a release that isn't pinned any more.", zap.Uint64("release", uint64(release)))
		a.reduce(stager.Verified{Release: release, Failed: true})
		return
	}
	t := target{model: model, pinned: pinned}
	corrupt, err := a.corruptChunks(ctx, t, t.allChunks())
	switch {
	case err != nil:
		a.log.Info("Chunks that the engine has taken can't be read back.", zap.Uint64("release", uint64(release)), zap.Error(err))
	case len(corrupt) > 0:
		a.log.Warn("The engine may have taken corrupt chunks.", zap.Uint64("release", uint64(release)), zap.Ints("chunks", corrupt))
	default:
		a.log.Info("The engine has taken whole chunks.", zap.Uint64("release", uint64(release)))
	}
	a.reduce(stager.Verified{Release: release, Failed: err != nil, Corrupt: corrupt})
}

// discard orders the engine to give up layers that it may have loaded from corrupt chunks.
func (a *agent) discard(d stager.Discard) {
	ctx, cancel := context.WithTimeout(a.ctx, engineTimeout)
	defer cancel()
	declared := a.view.Declared()
	own, _ := a.engineRecords()
	chunks := 0
	if pinned, ok := declared.Releases[d.Model].Pin(d.Release); ok {
		chunks = len(pinned.Digests)
	}
	kept := stager.SoundLayer(layersOf(declared, own), chunks, d.Corrupt)
	token := a.currentToken()
	outcome, err := a.engine.Discard(ctx, d, kept, token)
	if explainer.KindOf(err) == explainer.Fenced {
		a.raiseToken(token)
	}
	a.log.Warn("Gave an order to discard what may be corrupt.", zap.Uint64("release", uint64(d.Release)), zap.Int("layerKept", kept),
		zap.Stringer("outcome", outcome), zap.Error(err))
	a.reduce(stager.Discarded{Outcome: outcome})
}

// layersOf returns the number of layers of the model that the engine serves, or 0 if it is not
// known.
func layersOf(declared declarer.Declared, own registrar.Record) int {
	engine := declared.Declaration.Services[own.Service].Engine
	if engine == nil {
		return 0
	}
	return engine.Layers
}

func (a *agent) sendOrder(o stager.Order) {
	ctx, cancel := context.WithTimeout(a.ctx, engineTimeout)
	defer cancel()
	token := a.currentToken()
	outcome, err := a.engine.Load(ctx, o, token)
	if explainer.KindOf(err) == explainer.Fenced {
		a.raiseToken(token)
	}
	a.log.Info("Gave an order to load.", zap.Uint64("release", uint64(o.Release)), zap.Uint64("expect", o.ExpectedOrders),
		zap.Stringer("outcome", outcome), zap.Error(err))
	a.reduce(stager.Ordered{Outcome: outcome})
}

func (a *agent) currentToken() identifier.FencingToken {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.token
}

// tokenStep is added to a token that an engine refused, in milliseconds: more than the
// clocks of the platform jump.
const tokenStep = 10_000

// raiseToken replaces a token that an engine refused. The engine may have seen a higher one
// of this agent before it restarted, if the time of day was set back meanwhile. Only this
// agent orders, so that a higher token fences off no other.
func (a *agent) raiseToken(refused identifier.FencingToken) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.token = max(a.token, refused+tokenStep)
}
