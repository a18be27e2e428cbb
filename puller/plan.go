package puller

import (
	"time"
)

const (
	// setAside is for how long a source that failed is passed over.
	setAside = 1500 * time.Millisecond
	// lastResortAfter is for how long no chunk may come from the mirrors until the
	// last source, the origin, is asked: the mirrors read it once for all, and what an
	// instance reads of it is missing to them.
	lastResortAfter = 3 * time.Second
)

// Plan decides what is asked of whom. It is not safe for concurrent use.
type Plan struct {
	held    []bool
	asked   []bool
	missing int
	// until is when each source counts again.
	until []time.Time
	// progress is when a source before the last one brought a chunk.
	progress time.Time
	// order is the order in which chunks are asked for.
	order []int
}

// NewPlan returns the plan of chunks from sources, the best source first. The
// last one is asked only where the others bring nothing for long.
func NewPlan(now time.Time, chunks, sources int) *Plan {
	return &Plan{
		held:     make([]bool, chunks),
		asked:    make([]bool, chunks),
		missing:  chunks,
		until:    make([]time.Time, sources),
		progress: now,
		order:    interleave(chunks),
	}
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
		if !now.Before(until) && p.allows(now, i) {
			return i
		}
	}
	return -1
}

// allows reports whether the source may be asked beside its failures.
func (p *Plan) allows(now time.Time, source int) bool {
	last := len(p.until) - 1
	return source < last || last == 0 || now.Sub(p.progress) >= lastResortAfter
}

// Arrived notes a chunk from the source that was checked.
func (p *Plan) Arrived(now time.Time, chunk, source int) {
	if source < len(p.until)-1 {
		p.progress = now
	}
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
