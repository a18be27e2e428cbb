package indexer

// MaxBlocks bounds the blocks that one process keeps of one upstream. A block takes about
// 64 bytes.
const MaxBlocks = 4096

// eventsPerBlock is the number of events that a full cache reports for each new block: one
// for the block stored and one for the block evicted.
const eventsPerBlock = 2

// Holder indexes the blocks that one upstream holds.
type Holder struct {
	// capacity is the memory of the upstream in its own unit, tokens or blocks, or 0 if it
	// is not known.
	capacity uint64
	// displaced counts what the upstream has stored besides the indexed blocks.
	displaced uint64
	// reported is the last count of events.
	reported uint64
	maximum  int
	used     uint64 // size of all entries

	entries map[Hash]*entry
	// recent is the ring of entries. Its successor was used last, and its predecessor
	// longest ago.
	recent entry
}

// entry is a block in the ring of a Holder.
type entry struct {
	hash       Hash
	size       uint32
	confirmed  bool
	displaced  uint64 // Holder.displaced at the last use
	prev, next *entry
}

// NewHolder returns an empty index of at most maximum blocks.
func NewHolder(maximum int) *Holder {
	h := &Holder{maximum: maximum, entries: make(map[Hash]*entry)}
	h.recent.prev, h.recent.next = &h.recent, &h.recent
	return h
}

// SetCapacity sets the memory of the upstream in tokens.
func (h *Holder) SetCapacity(tokens int) {
	h.capacity = uint64(max(0, tokens))
	h.evict()
}

// SetMaximum changes the largest number of blocks.
func (h *Holder) SetMaximum(blocks int) {
	h.maximum = blocks
	h.evict()
}

// Report takes in the number of cache events of the upstream since its start, and the number
// of blocks that its cache holds. A count lower than the last one comes from an upstream
// that has restarted, or out of order; either way all blocks are forgotten. A count of 0
// says nothing.
func (h *Holder) Report(events, blocks uint64) {
	if events == 0 {
		return
	}
	if events < h.reported {
		h.Clear()
	}
	h.reported = events
	h.displaced = events / eventsPerBlock
	h.capacity = blocks
	h.evict()
}

// Displace counts tokens that the upstream has stored for other processes.
func (h *Holder) Displace(tokens int) {
	h.displaced += uint64(max(0, tokens))
	h.evict()
}

// Add records that the upstream has been sent the beginning. Blocks that are larger than its
// memory, and those after them, are left out.
func (h *Holder) Add(b Beginning) {
	n := h.fitting(b)
	// The longest beginning is the least recently used one, since it is of no use without
	// the shorter ones.
	for i := n - 1; i >= 0; i-- {
		e := h.entries[b[i].Hash]
		if e == nil {
			e = &entry{hash: b[i].Hash, size: uint32(b[i].Tokens)}
			h.entries[e.hash] = e
			h.used += uint64(e.size)
		} else {
			e.unlink()
		}
		e.displaced = h.displaced
		e.linkAfter(&h.recent)
	}
	h.evict()
}

// fitting returns how many blocks of the beginning fit into the memory together.
func (h *Holder) fitting(b Beginning) int {
	var total uint64
	for i, block := range b {
		total += uint64(block.Tokens)
		if h.capacity > 0 && total > h.capacity {
			return i
		}
	}
	return len(b)
}

// Confirm records that the upstream has read the beginning.
func (h *Holder) Confirm(b Beginning) {
	for _, block := range b {
		if e := h.entries[block.Hash]; e != nil {
			e.confirmed = true
		}
	}
}

// Withdraw forgets the blocks of the beginning that were added and never confirmed, since
// the upstream did not read them.
func (h *Holder) Withdraw(b Beginning) {
	for _, block := range b {
		if e := h.entries[block.Hash]; e != nil && !e.confirmed {
			h.remove(e)
		}
	}
}

// Clear forgets all blocks.
func (h *Holder) Clear() {
	clear(h.entries)
	h.recent.prev, h.recent.next = &h.recent, &h.recent
	h.used, h.reported, h.displaced = 0, 0, 0
}

// Held returns how many tokens from the start of the beginning the upstream holds.
func (h *Holder) Held(b Beginning) int {
	tokens := 0
	for _, block := range b[:h.Blocks(b)] {
		tokens += block.Tokens
	}
	return tokens
}

// Blocks returns how many blocks from the start of the beginning the upstream holds.
func (h *Holder) Blocks(b Beginning) int {
	if h == nil {
		return 0
	}
	for i, block := range b {
		if h.entries[block.Hash] == nil {
			return i
		}
	}
	return len(b)
}

// Len returns the number of indexed blocks.
func (h *Holder) Len() int { return len(h.entries) }

// evict forgets the least recently used blocks that the upstream has displaced by now, and
// those beyond the maximum.
func (h *Holder) evict() {
	for len(h.entries) > 0 {
		last := h.recent.prev
		needed := h.used + h.displaced - last.displaced
		if last.size == 0 {
			needed++ // a block of unknown size takes one unit
		}
		if len(h.entries) <= h.maximum && (h.capacity == 0 || needed <= h.capacity) {
			return
		}
		h.remove(last)
	}
}

func (h *Holder) remove(e *entry) {
	e.unlink()
	delete(h.entries, e.hash)
	h.used -= uint64(e.size)
}

func (e *entry) unlink() {
	e.prev.next, e.next.prev = e.next, e.prev
}

func (e *entry) linkAfter(at *entry) {
	e.prev, e.next = at, at.next
	at.next.prev = e
	at.next = e
}
