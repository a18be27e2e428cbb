package fetcher

import "math/bits"

// bitset is a set of small non-negative numbers. Its capacity is fixed.
type bitset []uint64

const wordBits = 64

func newBitset(n int) bitset {
	return make(bitset, (n+wordBits-1)/wordBits)
}

func (b bitset) has(i int) bool {
	return b[i/wordBits]&(1<<(i%wordBits)) != 0
}

func (b bitset) add(i int) {
	b[i/wordBits] |= 1 << (i % wordBits)
}

func (b bitset) count() int {
	n := 0
	for _, w := range b {
		n += bits.OnesCount64(w)
	}
	return n
}
