package placer

import (
	"context"

	"go.uber.org/zap"

	"celeryvalve/identifier"
	"celeryvalve/stager"
)

// stage puts the chunks that the engine lacks, and reads all of them back.
func (g *agent) stage(t target, chunks map[identifier.Digest][]byte) {
	ctx, cancel := context.WithTimeout(g.ctx, stageTimeout)
	defer cancel()
	err := g.stageChunks(ctx, t, chunks)
	if err != nil {
		g.log.Warn("Chunks can't be staged.", zap.Uint64("release", uint64(t.pinned.Number)), zap.Error(err))
	}
	g.reduce(stager.Staged{Release: t.pinned.Number, Whole: err == nil})
}

func (g *agent) stageChunks(ctx context.Context, t target, chunks map[identifier.Digest][]byte) error {
	missing := make([]int, len(t.pinned.Digests))
	for i := range missing {
		missing[i] = i
	}
	for range stageRounds {
		var err error
		if missing, err = g.spoilt(ctx, t, missing); err != nil {
			return err
		}
		if len(missing) == 0 {
			return nil
		}
		for _, i := range missing {
			if err := g.engine.Put(ctx, t.model, i, chunks[t.pinned.Digests[i]]); err != nil {
				return err
			}
		}
	}
	return errSpoilt
}

// spoilt returns those of the chunks that don't read back as pinned.
func (g *agent) spoilt(ctx context.Context, t target, chunks []int) ([]int, error) {
	var spoilt []int
	for _, i := range chunks {
		data, err := g.engine.Get(ctx, t.model, i, t.pinned.ChunkSize)
		if err != nil {
			return nil, err
		}
		if identifier.DigestOf(data) != t.pinned.Digests[i] {
			spoilt = append(spoilt, i)
		}
	}
	return spoilt, nil
}

func (g *agent) order(o stager.Order) {
	ctx, cancel := context.WithTimeout(g.ctx, engineTimeout)
	defer cancel()
	accepted, err := g.engine.Load(ctx, o, g.token)
	g.log.Info("Gave an order to load.", zap.Uint64("release", uint64(o.Release)), zap.Uint64("expect", o.Expect),
		zap.Bool("accepted", accepted), zap.Error(err))
	g.reduce(stager.Ordered{Accepted: accepted})
}
