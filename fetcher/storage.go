package fetcher

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// dropLate gives up a chunk that came after its transfer was cancelled.
func (f *Fetcher) dropLate(event Event) []Effect {
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

// admit starts fetching where the chunks fit into the store.
func (f *Fetcher) admit(now time.Time, t *transfer) []Effect {
	var used identifier.ByteCount
	for _, other := range f.transfers {
		if other != t && other.manifest != nil && other.stage != WaitingForSpace && other.stage != Refused {
			used += other.manifest.Size()
		}
	}
	if t.manifest.Size() > f.cfg.StoreLimit {
		return f.refuse(t, fmt.Sprintf("weights of %d bytes exceed the store limit of %d", t.manifest.Size(), f.cfg.StoreLimit),
			"raise the agent's store limit, or declare smaller weights")
	}
	if used+t.manifest.Size() > f.cfg.StoreLimit {
		t.stage = WaitingForSpace
		return nil
	}
	t.stage = Fetching
	t.replan(now, f.cfg.Self)
	var effects []Effect
	for i := range t.manifest.Chunks() {
		location, _ := t.manifest.Chunk(verifier.ChunkIndex(i))
		if chunk, ok := f.stored[location.Digest]; ok && !t.have.has(i) {
			effects = append(effects, f.reuse(t, chunk)...)
		}
	}
	return append(effects, f.finish(t)...)
}

// reuse holds a chunk that is stored already.
func (f *Fetcher) reuse(t *transfer, chunk verifier.Chunk) []Effect {
	fresh := t.hold(chunk.Digest())
	t.counts.reused += chunk.Size() * identifier.ByteCount(len(fresh))
	return f.offer(t, fresh)
}

// restored takes in a chunk from before a restart.
func (f *Fetcher) restored(now time.Time, chunk verifier.Chunk) []Effect {
	f.stored[chunk.Digest()] = chunk
	var effects []Effect
	for _, id := range f.order {
		t := f.transfers[id]
		if t.stage == Fetching {
			effects = append(effects, f.reuse(t, chunk)...)
			effects = append(effects, f.finish(t)...)
			effects = append(effects, f.pump(now, t)...)
		}
	}
	return effects
}

// refuse ends a transfer that an operator has to mend.
func (f *Fetcher) refuse(t *transfer, problem, remedy string) []Effect {
	t.stage = Refused
	t.problem = problem
	return []Effect{Failed{Manifest: t.want.Manifest, Problem: problem, Remedy: remedy}}
}

// drop gives up the chunks of a transfer that no other one needs.
func (f *Fetcher) drop(t *transfer) []Effect {
	if t.manifest == nil {
		return nil
	}
	var unused []identifier.Digest
	for i := range t.manifest.Chunks() {
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

// dropUnused gives up restored chunks of no known manifest, once all are known.
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
		if t.manifest != nil && len(t.manifest.Indices(digest)) > 0 {
			return true
		}
	}
	return false
}
