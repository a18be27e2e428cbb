package controller

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"celeryvalve/asserter"
	"celeryvalve/configurer"
	"celeryvalve/identifier"
)

const (
	// OriginLeaseDuration is how long granted chunks may be read from the origin.
	OriginLeaseDuration = 2 * time.Minute
	// OriginWindow is how often the reserve of a manifest is renewed.
	OriginWindow = 10 * time.Minute
	// MaximumChunks is how many chunks a manifest may have.
	MaximumChunks = 1 << 20
	// MaximumOriginGrants is how many grants of one manifest are kept.
	MaximumOriginGrants = 16384

	originRetryAfter = 5 * time.Second // of a refusal that may pass sooner than the window
)

// OriginUse is what was granted of one manifest's weights.
type OriginUse struct {
	Manifest  identifier.Digest
	TotalSize identifier.ByteCount
	Copies    int
	Granted   identifier.ByteCount // of the copies, each chunk once
	// Reserve is what was granted again in the present window, because chunks
	// were lost with their holders. It stays within one copy.
	Reserve identifier.ByteCount
}

// OriginGrant is a range of one copy that one upstream may read or has read.
type OriginGrant struct {
	Copy        int
	Chunks      Chunks
	Size        identifier.ByteCount // zero for a part, and for one that was returned
	Holder      identifier.Upstream
	Incarnation identifier.Incarnation
	ID          uint64 // of the request
	Expires     Instant
	Reserve     bool // counts against the reserve of its window
	Window      Instant
}

// originBudget keeps the grants of one manifest.
type originBudget struct {
	OriginUse
	Window Instant // when the present window began
	Grants []OriginGrant
}

type origin struct {
	budgets map[identifier.Digest]*originBudget
}

func newOrigin() origin {
	return origin{budgets: make(map[identifier.Digest]*originBudget)}
}

// follow drops the budgets of manifests that the configuration no longer wants.
func (o *origin) follow(c configurer.Configuration) {
	for manifest, budget := range o.budgets {
		budget.Copies = c.OriginCopies(manifest)
		if budget.Copies == 0 {
			delete(o.budgets, manifest)
		}
	}
}

// leaseOrigin grants a range of chunks that nobody else was granted in the same
// copy. The same request again gets the same lease.
func (s *State) leaseOrigin(m *LeaseOrigin) any {
	if _, ok := s.core.members.current(m.Upstream, m.Incarnation); !ok || !m.valid() {
		return &OriginAnswer{Status: OriginRefused}
	}
	budget, ok := s.core.budget(m)
	if !ok || m.Copy >= budget.Copies || m.TotalSize != budget.TotalSize {
		return &OriginAnswer{Status: OriginRefused}
	}
	budget.roll(s.core.now)
	overlap := budget.overlap(m)
	if i := slices.IndexFunc(overlap, func(g OriginGrant) bool { return g.same(m) && g.Expires > s.core.now }); i >= 0 {
		return granted(time.Duration(overlap[i].Expires - s.core.now))
	}
	again := len(overlap) > 0
	if i := slices.IndexFunc(overlap, func(g OriginGrant) bool { return s.core.holds(g, m) }); i >= 0 {
		return &OriginAnswer{Status: OriginHeld, Holder: overlap[i].Holder}
	}
	inside := budget.fits(m, again) && s.assert.Check(asserter.OriginBudget, budget.listed() <= budget.Granted,
		fmt.Sprintf("manifest %s: %d bytes are granted and %d counted", m.Manifest, budget.listed(), budget.Granted))
	if !inside {
		return &OriginAnswer{Status: OriginExhausted, RetryAfter: budget.retryAfter(s.core.now)}
	}
	budget.grant(m, again, s.core.now)
	return granted(OriginLeaseDuration)
}

func granted(left time.Duration) *OriginAnswer {
	return &OriginAnswer{Status: OriginGranted, LeaseDuration: left}
}

func (m *LeaseOrigin) valid() bool {
	return m.Chunks.First >= 0 && m.Chunks.Count > 0 && m.Chunks.First <= MaximumChunks && m.Chunks.Count <= MaximumChunks &&
		m.Copy >= 0 && m.Size > 0 && m.Size <= m.TotalSize
}

// budget returns that of the manifest, which a first request begins.
func (c *core) budget(m *LeaseOrigin) (*originBudget, bool) {
	if budget, ok := c.origin.budgets[m.Manifest]; ok {
		return budget, true
	}
	copies := c.patches.current.OriginCopies(m.Manifest)
	if copies == 0 {
		return nil, false
	}
	budget := &originBudget{
		OriginUse: OriginUse{Manifest: m.Manifest, TotalSize: m.TotalSize, Copies: copies},
		Window:    c.now,
	}
	c.origin.budgets[m.Manifest] = budget
	return budget, true
}

// holds reports whether an earlier grant stands in the way of the request: its
// holder is a member, and the request doesn't say that the chunks are lost.
func (c *core) holds(g OriginGrant, m *LeaseOrigin) bool {
	if g.Holder == m.Upstream {
		return g.Expires > c.now && !m.Again
	}
	_, live := c.members.live[g.Holder]
	return live && (!m.Again || g.Expires > c.now)
}

// same reports whether the grant is of just this request, which was sent again.
// Requests without an ID can't be told apart, so that one for chunks that were
// lost always counts anew.
func (g OriginGrant) same(m *LeaseOrigin) bool {
	if m.ID == 0 && m.Again {
		return false
	}
	return g.Holder == m.Upstream && g.Incarnation == m.Incarnation && g.ID == m.ID &&
		g.Copy == m.Copy && g.Chunks == m.Chunks && g.Size > 0
}

func (b *originBudget) overlap(m *LeaseOrigin) []OriginGrant {
	var found []OriginGrant
	for _, g := range b.Grants {
		if g.overlaps(m) {
			found = append(found, g)
		}
	}
	return found
}

func (g OriginGrant) overlaps(m *LeaseOrigin) bool {
	return g.Copy == m.Copy && g.Chunks.First < m.Chunks.First+m.Chunks.Count &&
		m.Chunks.First < g.Chunks.First+g.Chunks.Count
}

// without returns what is left of the grant on both sides of the request. A part
// can't be returned any more: its size is not known, and counts as read.
func (g OriginGrant) without(m *LeaseOrigin) []OriginGrant {
	if !g.overlaps(m) {
		return []OriginGrant{g}
	}
	var parts []OriginGrant
	end, cutEnd := g.Chunks.First+g.Chunks.Count, m.Chunks.First+m.Chunks.Count
	g.Size = 0
	if left := m.Chunks.First - g.Chunks.First; left > 0 {
		part := g
		part.Chunks.Count = left
		parts = append(parts, part)
	}
	if right := end - cutEnd; right > 0 {
		part := g
		part.Chunks = Chunks{First: cutEnd, Count: right}
		parts = append(parts, part)
	}
	return parts
}

// roll begins a new window, with its reserve whole, when the present one is over.
func (b *originBudget) roll(now Instant) {
	if b.Window.after(OriginWindow) <= now {
		b.Window = now
		b.Reserve = 0
	}
}

func (b *originBudget) fits(m *LeaseOrigin, again bool) bool {
	if len(b.Grants) >= MaximumOriginGrants {
		return false
	}
	if again {
		return b.Reserve+m.Size <= b.TotalSize
	}
	return b.Granted+m.Size <= b.TotalSize*identifier.ByteCount(b.Copies)
}

// listed returns what the grants of the copies add up to. The count of granted
// bytes is no less, since it keeps those of which only parts are listed.
func (b *originBudget) listed() identifier.ByteCount {
	var size identifier.ByteCount
	for _, g := range b.Grants {
		if !g.Reserve {
			size += g.Size
		}
	}
	return size
}

func (b *originBudget) retryAfter(now Instant) time.Duration {
	left := time.Duration(b.Window.after(OriginWindow) - now)
	return min(max(left, time.Second), originRetryAfter)
}

// grant takes the request's chunks out of the grants that it overlaps.
func (b *originBudget) grant(m *LeaseOrigin, again bool, now Instant) {
	kept := make([]OriginGrant, 0, len(b.Grants)+1)
	for _, g := range b.Grants {
		kept = append(kept, g.without(m)...)
	}
	b.Grants = kept
	if again {
		b.Reserve += m.Size
	} else {
		b.Granted += m.Size
	}
	b.Grants = append(b.Grants, OriginGrant{
		Copy:        m.Copy,
		Chunks:      m.Chunks,
		Size:        m.Size,
		Holder:      m.Upstream,
		Incarnation: m.Incarnation,
		ID:          m.ID,
		Expires:     now.after(OriginLeaseDuration),
		Reserve:     again,
		Window:      b.Window,
	})
}

// returnOrigin takes back a grant whose lease still runs: nothing was read.
func (c *core) returnOrigin(m *ReturnOrigin) any {
	budget, ok := c.origin.budgets[m.Manifest]
	if _, current := c.members.current(m.Upstream, m.Incarnation); !ok || !current {
		return &MemberAnswer{}
	}
	i := slices.IndexFunc(budget.Grants, func(g OriginGrant) bool {
		return g.Holder == m.Upstream && g.Incarnation == m.Incarnation && g.ID == m.ID &&
			g.Copy == m.Copy && g.Chunks == m.Chunks && g.Size > 0 && g.Expires > c.now
	})
	if i < 0 {
		return &MemberAnswer{}
	}
	budget.giveBack(i)
	return &MemberAnswer{Changed: true}
}

// giveBack undoes a grant. Chunks that were granted before it stay granted, since
// their earlier lease may still run, and count against the reserve next time too.
func (b *originBudget) giveBack(i int) {
	g := &b.Grants[i]
	if !g.Reserve {
		b.Granted -= g.Size
		b.Grants = slices.Delete(b.Grants, i, i+1)
		return
	}
	if g.Window == b.Window {
		b.Reserve -= g.Size
	}
	g.Size = 0
}

func (o *origin) use() []OriginUse {
	uses := make([]OriginUse, 0, len(o.budgets))
	for _, manifest := range o.manifests() {
		uses = append(uses, o.budgets[manifest].OriginUse)
	}
	return uses
}

func (o *origin) manifests() []identifier.Digest {
	return slices.SortedFunc(maps.Keys(o.budgets), func(a, b identifier.Digest) int {
		return bytes.Compare(a[:], b[:])
	})
}
