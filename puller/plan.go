package puller

import (
	"time"
)

const (
	// setAside is for how long a source that failed is passed over.
	setAside = 1500 * time.Millisecond
	// lastResortAfter is for how long the last of several sources, the origin, is
	// left alone: the mirrors read it once for all.
	lastResortAfter = 3 * time.Second
)

// Plan decides what is asked of whom. It is not safe for concurrent use.
type Plan struct {
	held    []bool
	asked   []bool
	missing int
	// until is when each source counts again.
	until []time.Time
	// order is the order in which chunks are asked for.
	order []int
}

// NewPlan returns the plan of chunks from sources, the best source first. The
// last one is not asked at the beginning, unless it is the only one.
func NewPlan(now time.Time, chunks, sources int) *Plan {
	p := &Plan{
		held:    make([]bool, chunks),
		asked:   make([]bool, chunks),
		missing: chunks,
		until:   make([]time.Time, sources),
		order:   interleave(chunks),
	}
	if sources > 1 {
		p.until[sources-1] = now.Add(lastResortAfter)
	}
	return p
}

// Next returns a chunk to ask for, and the source to ask. It reports false while
// everything that is missing is asked for or no source counts.
func (p *Plan) Next(now time.Time) (chunk, source int, ok bool) {
	source = p.source(now)
	if source < 0 {
		return 0, 0, false
	}
	for _, i := range p.order {
		if !p.held[i] && !p.asked[i] {
			p.asked[i] = true
			return i, source, true
		}
	}
	return 0, 0, false
}

// Parts is into how many runs of chunks the mirrors cut a release. They fetch all
// runs at once, each from its first chunk on.
const Parts = 8

// interleave returns the chunks in the order in which mirrors get them: the first
// of each run, then the second of each. Asked for in another order, the window
// would be full of chunks that come last.
func interleave(chunks int) []int {
	length := (chunks + Parts - 1) / Parts
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

func (p *Plan) source(now time.Time) int {
	for i, until := range p.until {
		if !now.Before(until) {
			return i
		}
	}
	return -1
}

// Arrived notes a chunk that was checked.
func (p *Plan) Arrived(chunk int) {
	p.asked[chunk] = false
	if !p.held[chunk] {
		p.held[chunk] = true
		p.missing--
	}
}

// Failed notes that the source did not bring the chunk.
func (p *Plan) Failed(now time.Time, chunk, source int) {
	p.asked[chunk] = false
	p.until[source] = now.Add(setAside)
}

// Done reports whether every chunk is held.
func (p *Plan) Done() bool {
	return p.missing == 0
}

// Held returns how many chunks are held.
func (p *Plan) Held() int {
	return len(p.held) - p.missing
}
