package puller

import (
	"time"
)

const (
	// ejectionTime is how long a source that failed is ejected.
	ejectionTime = 1500 * time.Millisecond
	// originFallbackDelay is how long the mirrors may deliver no chunk before the last
	// source, the origin, is asked. The mirrors read it once for all instances, and what
	// an instance reads from it itself is bandwidth that the mirrors lack.
	originFallbackDelay = 3 * time.Second
)

// Plan schedules the requests for the chunks of one release over its sources. It is
// not safe for concurrent use.
type Plan struct {
	held      []bool
	requested []bool
	missing   int
	// ejectedUntil is when each source may be asked again.
	ejectedUntil []time.Time
	// lastMirrorProgress is when a source other than the last one delivered a chunk.
	lastMirrorProgress time.Time
	// order is the order in which chunks are requested.
	order []int
}

// NewPlan returns a plan for a number of chunks and of sources, the best source first.
// The last source is the origin. It is asked only if the others deliver nothing for a
// while, or if there are no others.
func NewPlan(now time.Time, chunks, sources int) *Plan {
	return &Plan{
		held:               make([]bool, chunks),
		requested:          make([]bool, chunks),
		missing:            chunks,
		ejectedUntil:       make([]time.Time, sources),
		lastMirrorProgress: now,
		order:              interleave(chunks),
	}
}

// Next returns a chunk to request, and the source to request it from. It reports false
// while every missing chunk is requested or no source may be asked.
func (p *Plan) Next(now time.Time) (chunk, source int, ok bool) {
	source = p.nextSource(now)
	if source < 0 {
		return 0, 0, false
	}
	for _, i := range p.order {
		if !p.held[i] && !p.requested[i] {
			p.requested[i] = true
			return i, source, true
		}
	}
	return 0, 0, false
}

// Stripes is the number of runs of consecutive chunks, or stripes, into which the mirrors
// divide a release. They fetch all runs at once, each from its first chunk on.
const Stripes = 8

// interleave returns the chunks in the order in which the mirrors receive them: the
// first of each run, then the second of each. In another order, the window would fill
// with requests for chunks that the mirrors receive last.
func interleave(chunks int) []int {
	length := (chunks + Stripes - 1) / Stripes
	order := make([]int, 0, chunks)
	for offset := range length {
		for first := 0; first < chunks; first += length {
			if i := first + offset; i < min(first+length, chunks) {
				order = append(order, i)
			}
		}
	}
	return order
}

// nextSource returns the best source that may be asked, or -1.
func (p *Plan) nextSource(now time.Time) int {
	for i, until := range p.ejectedUntil {
		if !now.Before(until) && p.sourceAllowed(now, i) {
			return i
		}
	}
	return -1
}

// sourceAllowed reports whether the source may be asked if it is not ejected: the
// origin only once the mirrors have delivered nothing for originFallbackDelay.
func (p *Plan) sourceAllowed(now time.Time, source int) bool {
	last := len(p.ejectedUntil) - 1
	return source < last || last == 0 || now.Sub(p.lastMirrorProgress) >= originFallbackDelay
}

// Arrived records a chunk from the source that was verified.
func (p *Plan) Arrived(now time.Time, chunk, source int) {
	if source < len(p.ejectedUntil)-1 {
		p.lastMirrorProgress = now
	}
	p.requested[chunk] = false
	if !p.held[chunk] {
		p.held[chunk] = true
		p.missing--
	}
}

// Failed records that the source did not deliver the chunk, and ejects the source.
func (p *Plan) Failed(now time.Time, chunk, source int) {
	p.requested[chunk] = false
	p.ejectedUntil[source] = now.Add(ejectionTime)
}

// Done reports whether every chunk is held.
func (p *Plan) Done() bool {
	return p.missing == 0
}

// Held returns how many chunks are held.
func (p *Plan) Held() int {
	return len(p.held) - p.missing
}
