package limiter

// Choose samples d of the candidates by the random number and returns the cheapest
// of them. It reports false if there are no candidates.
func Choose[T any](random uint64, candidates []T, d int, cost func(T) float64) (T, bool) {
	var best T
	if len(candidates) == 0 {
		return best, false
	}
	sample := sampleOf(random, candidates, d)
	best = sample[0]
	for _, c := range sample[1:] {
		if cost(c) < cost(best) {
			best = c
		}
	}
	return best, true
}

// sampleOf returns d distinct candidates by a partial Fisher-Yates shuffle.
func sampleOf[T any](random uint64, candidates []T, d int) []T {
	pool := append([]T(nil), candidates...)
	d = min(max(d, 1), len(pool))
	for i := range d {
		random = SplitMix64(random)
		j := i + int(random%uint64(len(pool)-i))
		pool[i], pool[j] = pool[j], pool[i]
	}
	return pool[:d]
}

// SplitMix64 returns the next number of the SplitMix64 sequence after x. With it a reducer
// derives further random numbers from the one that comes with an event.
func SplitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
