package fetcher

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// dropLateChunk drops a chunk that arrived after its transfer was cancelled.
func (f *Fetcher) dropLateChunk(event Event) []Effect {
	e, ok := event.(ChunkArrived)
	if !ok {
		return nil
	}
	digest := e.Chunk.Digest()
	if _, stored := f.stored[digest]; stored {
		return nil
	}
	return []Effect{DropChunks{Digests: []identifier.Digest{digest}}}
}

// admit starts to fetch the chunks if they fit into the store. Otherwise the transfer
// waits for space, or fails if it is larger than the whole store.
func (f *Fetcher) admit(now time.Time, t *transfer) []Effect {
	var used identifier.ByteCount
	for _, other := range f.transfers {
		if other != t && other.manifest != nil && other.stage != WaitingForSpace && other.stage != Refused {
			used += other.manifest.Size()
		}
	}
	if t.manifest.Size() > f.cfg.StoreLimit {
		return f.failTransfer(t, fmt.Sprintf("weights of %d bytes exceed the store limit of %d", t.manifest.Size(), f.cfg.StoreLimit),
			"raise the agent's store limit, or declare smaller weights")
	}
	if used+t.manifest.Size() > f.cfg.StoreLimit {
		t.stage = WaitingForSpace
		return nil
	}
	t.stage = Fetching
	t.replan(now, f.cfg.Self)
	var effects []Effect
	for i := range t.manifest.ChunkCount() {
		location, _ := t.manifest.Chunk(verifier.ChunkIndex(i))
		if chunk, ok := f.stored[location.Digest]; ok && !t.have.has(i) {
			effects = append(effects, f.reuse(t, chunk)...)
		}
	}
	return append(effects, f.verifyIfComplete(t)...)
}

// reuse marks a chunk as held that is stored already.
func (f *Fetcher) reuse(t *transfer, chunk verifier.Chunk) []Effect {
	newlyHeld := t.markHeld(chunk.Digest())
	t.counts.reused += chunk.Size() * identifier.ByteCount(len(newlyHeld))
	return f.answerWaiters(t, newlyHeld)
}

// chunkRestored records a chunk that was stored before a restart.
func (f *Fetcher) chunkRestored(now time.Time, chunk verifier.Chunk) []Effect {
	f.stored[chunk.Digest()] = chunk
	var effects []Effect
	for _, id := range f.order {
		t := f.transfers[id]
		if t.stage == Fetching {
			effects = append(effects, f.reuse(t, chunk)...)
			effects = append(effects, f.verifyIfComplete(t)...)
			effects = append(effects, f.fillWindows(now, t)...)
		}
	}
	return effects
}

// failTransfer ends a transfer that can't continue until an operator acts.
func (f *Fetcher) failTransfer(t *transfer, problem, remedy string) []Effect {
	t.stage = Refused
	t.problem = problem
	return []Effect{Failed{Manifest: t.want.Manifest, Problem: problem, Remedy: remedy}}
}

// dropUnshared drops the chunks of a removed transfer that no other one needs.
func (f *Fetcher) dropUnshared(t *transfer) []Effect {
	if t.manifest == nil {
		return nil
	}
	var unused []identifier.Digest
	for i := range t.manifest.ChunkCount() {
		location, _ := t.manifest.Chunk(verifier.ChunkIndex(i))
		if _, ok := f.stored[location.Digest]; !ok || f.needed(location.Digest) {
			continue
		}
		delete(f.stored, location.Digest)
		unused = append(unused, location.Digest)
	}
	if len(unused) == 0 {
		return nil
	}
	return []Effect{DropChunks{Digests: unused}}
}

// dropUnused drops chunks that no manifest contains, once all manifests are known. Such
// chunks were restored after a restart.
func (f *Fetcher) dropUnused() []Effect {
	var unused []identifier.Digest
	for _, t := range f.transfers {
		if t.manifest == nil {
			return nil
		}
	}
	for digest := range f.stored {
		if !f.needed(digest) {
			unused = append(unused, digest)
		}
	}
	if len(unused) == 0 {
		return nil
	}
	slices.SortFunc(unused, func(a, b identifier.Digest) int { return bytes.Compare(a[:], b[:]) })
	for _, digest := range unused {
		delete(f.stored, digest)
	}
	return []Effect{DropChunks{Digests: unused}}
}

func (f *Fetcher) needed(digest identifier.Digest) bool {
	for _, t := range f.transfers {
		if t.manifest != nil && len(t.manifest.ChunkIndices(digest)) > 0 {
			return true
		}
	}
	return false
}
