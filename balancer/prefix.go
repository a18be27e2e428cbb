package balancer

import (
	"slices"
	"time"

	"celeryvalve/declarer"
	"celeryvalve/indexer"
	"celeryvalve/limiter"
)

const (
	// minSavedReading is the least reading for which an upstream that holds the beginning of
	// a prompt is looked for beyond the sample: forecasts that differ by less count as equal.
	minSavedReading = costJitter
	// holdersSampled is how many of the upstreams that hold the longest beginning are
	// added to the sample, and as many of those that hold a shorter one. Two spread hot
	// beginnings over those that hold them as minSampleSize does.
	holdersSampled = 2
	// maxIndexedBlocks bounds the blocks that an entry keeps of all upstreams of a service
	// together. They take about 10 MB.
	maxIndexedBlocks = 1 << 17
	// minIndexedBlocks is the bound for one upstream at least: the parts of some ten prompts.
	minIndexedBlocks = 64
)

// keepsPrefixes reports whether the upstreams of the service keep beginnings of prompts.
func (p ServicePolicy) keepsPrefixes() bool {
	return p.Engine != nil && p.Engine.PrefixTokens > 0
}

// chainPrompt prepares the prompt of a request for the comparison with what upstreams hold.
func (s *request) chainPrompt(policy ServicePolicy) {
	if policy.keepsPrefixes() {
		s.beginning, s.ignoredParts = indexer.Chain(s.Prompt)
	}
}

// savedReading returns how long the upstream need not read since it holds the beginning of
// the prompt. At least one token is read.
func (u *upstream) savedReading(q *Request, engine *declarer.Engine) time.Duration {
	if u.prefixes == nil || len(q.beginning) == 0 {
		return 0
	}
	prompt := q.PromptTokens
	if prompt == 0 {
		prompt = engine.MeanPrompt
	}
	return prefillTime(engine, max(0, min(u.prefixes.Held(q.beginning), prompt-1)))
}

// addHolders adds to the sample those of the other candidates that hold much of the
// request's prompt. If none holds the part that requests share, it adds the one in which
// all entries agree to have it read, and makes the request prefer that one.
func (r *Reducer) addHolders(s *request, policy ServicePolicy, sample []*upstream, others ...[]*upstream) []*upstream {
	s.preferred = nil
	if !policy.keepsPrefixes() || prefillTime(policy.Engine, s.beginning.Tokens()) < minSavedReading {
		return sample
	}
	longest := time.Duration(0)
	for _, u := range sample {
		longest = max(longest, u.savedReading(&s.Request, policy.Engine))
	}
	sampledLongest := longest
	var best, shorter []*upstream
	for _, u := range slices.Concat(others...) {
		saved := u.savedReading(&s.Request, policy.Engine)
		switch {
		case saved < minSavedReading:
		case saved > longest:
			longest = saved
			shorter = append(shorter, best...)
			best = []*upstream{u}
		case saved == longest && longest > sampledLongest:
			best = append(best, u)
		default:
			shorter = append(shorter, u)
		}
	}
	random := limiter.SplitMix64(s.Random ^ uint64(s.attempts))
	all := slices.Concat(sample, randomSubset(best, holdersSampled, random), randomSubset(shorter, holdersSampled, random))
	shared := s.beginning.Shared()
	if prefillTime(policy.Engine, shared.Tokens())-longest < minSavedReading {
		return all
	}
	s.preferred = r.firstReader(shared, append(others, sample))
	if s.preferred != nil && !slices.Contains(all, s.preferred) {
		all = append(all, s.preferred)
	}
	return all
}

// firstReader returns the candidate that reads a beginning which none is known to hold: the
// first by rank among the nearest ones. Entries in the same place agree in it without a
// message.
func (r *Reducer) firstReader(b indexer.Beginning, candidates [][]*upstream) *upstream {
	var first *upstream
	var rank uint64
	for _, u := range slices.Concat(candidates...) {
		switch k := b.Rank(u.view.Upstream); {
		case first == nil, r.localityPenalty(u) < r.localityPenalty(first),
			r.localityPenalty(u) == r.localityPenalty(first) && k > rank:
			first, rank = u, k
		}
	}
	return first
}

// addPrompt records the beginning of the request's prompt at its upstream, and returns how
// many tokens of it the upstream held before. The other entries are assumed to have sent
// prompts in proportion, of which as much was new to the upstream.
func (r *Reducer) addPrompt(a *attempt, policy ServicePolicy, othersRatio float64) int {
	if !policy.keepsPrefixes() || len(a.beginning) == 0 {
		return 0
	}
	u := a.target
	blocks := max(minIndexedBlocks, min(indexer.MaxBlocks, maxIndexedBlocks/max(1, len(r.byService[a.Service]))))
	if u.prefixes == nil {
		u.prefixes = indexer.NewHolder(blocks)
	}
	u.prefixes.SetMaximum(blocks)
	u.prefixes.SetCapacity(policy.Engine.PrefixTokens)
	held := u.prefixes.Held(a.beginning)
	u.prefixes.Displace(int(othersRatio * float64(a.beginning.Tokens()-held)))
	u.prefixes.Add(a.beginning)
	return held
}

// confirmPrompt records that the upstream has read the request's prompt.
func (a *attempt) confirmPrompt() {
	if a.target.prefixes != nil {
		a.target.prefixes.Confirm(a.beginning)
	}
}

// withdrawPrompt takes back what was recorded of an attempt whose prompt was not read.
func (a *attempt) withdrawPrompt() {
	if a.target.prefixes != nil {
		a.target.prefixes.Withdraw(a.beginning)
	}
}

// forgetPrefixes forgets what the upstream holds, since it has ended or changed its weights.
func (u *upstream) forgetPrefixes() {
	if u.prefixes != nil {
		u.prefixes.Clear()
	}
}

// changePrefixCapacities applies changed policies to what is known of the upstreams.
func (r *Reducer) changePrefixCapacities() {
	for _, u := range r.upstreams {
		switch policy := r.services[u.view.Service]; {
		case u.prefixes == nil:
		case policy.keepsPrefixes():
			u.prefixes.SetCapacity(policy.Engine.PrefixTokens)
		default:
			u.prefixes = nil
		}
	}
}
