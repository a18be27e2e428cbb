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
	// OriginWindow is the interval after which the reserve of a manifest is
	// available in full again. A period of this length overlaps at most two
	// windows, so at most two reserves are granted in it.
	OriginWindow = 10 * time.Minute
	// MaximumChunks is the maximum number of chunks of a manifest.
	MaximumChunks = 1 << 20
	// MaximumOriginGrants is the maximum number of stored grants of one manifest.
	MaximumOriginGrants = 16384

	// originRetryAfter is the maximum RetryAfter of an answer Exhausted. It is
	// shorter than the window, since budget may become available before the window
	// ends.
	originRetryAfter = 5 * time.Second
)

// OriginUse is the use of one manifest's budget for reads from the origin. The
// budget allows each configured copy to be read once, and the size of one copy per
// window to be read again to replace lost chunks.
type OriginUse struct {
	Manifest  identifier.Digest
	TotalSize identifier.ByteCount
	Copies    int
	Granted   identifier.ByteCount // granted from the budget of the copies
	// Reserve is the size of the chunks that were granted again in the current
	// window because they were lost with their holders. It is at most TotalSize.
	Reserve identifier.ByteCount
}

// OriginGrant is a range of chunks of one copy that was granted to an upstream.
type OriginGrant struct {
	Copy        int
	Chunks      Chunks
	Size        identifier.ByteCount // zero for a part of an earlier grant, and for a returned one
	Holder      identifier.Upstream
	Incarnation identifier.Incarnation
	ID          uint64 // of the LeaseOrigin request
	Expires     Instant
	Reserve     bool    // counted against the reserve of Window instead of the copies
	Window      Instant // start of the window of the grant
}

// originBudget is the budget of one manifest with its grants.
type originBudget struct {
	OriginUse
	Window Instant // start of the current window
	Grants []OriginGrant
}

type origin struct {
	budgets map[identifier.Digest]*originBudget
}

func newOrigin() origin {
	return origin{budgets: make(map[identifier.Digest]*originBudget)}
}

// applyConfiguration updates the number of copies of each budget, and drops the
// budgets of manifests that the configuration no longer uses.
func (o *origin) applyConfiguration(c configurer.Configuration) {
	for manifest, budget := range o.budgets {
		budget.Copies = c.OriginCopies(manifest)
		if budget.Copies == 0 {
			delete(o.budgets, manifest)
		}
	}
}

// leaseOrigin grants a range of chunks of one copy, unless an earlier grant blocks
// the request or the budget is used up. A range with chunks that were granted
// before counts against the reserve. A resent request gets the remaining time of
// its lease.
func (s *State) leaseOrigin(m *LeaseOrigin) any {
	if _, ok := s.core.members.current(m.Upstream, m.Incarnation); !ok || !m.valid() {
		return &OriginAnswer{Status: OriginRefused}
	}
	budget, ok := s.core.budget(m)
	if !ok || m.Copy >= budget.Copies || m.TotalSize != budget.TotalSize {
		return &OriginAnswer{Status: OriginRefused}
	}
	budget.rollWindow(s.core.now)
	overlaps := budget.overlapping(m)
	if i := slices.IndexFunc(overlaps, func(g OriginGrant) bool { return g.matches(m) && g.Expires > s.core.now }); i >= 0 {
		return grantedAnswer(time.Duration(overlaps[i].Expires - s.core.now))
	}
	fromReserve := len(overlaps) > 0
	if i := slices.IndexFunc(overlaps, func(g OriginGrant) bool { return s.core.blocks(g, m) }); i >= 0 {
		return &OriginAnswer{Status: OriginHeld, Holder: overlaps[i].Holder}
	}
	allowed := budget.fits(m, fromReserve) && s.assert.Check(asserter.OriginBudget, budget.listedSize() <= budget.Granted,
		fmt.Sprintf("manifest %s: the grants add up to %d bytes, but only %d are counted as granted", m.Manifest, budget.listedSize(), budget.Granted))
	if !allowed {
		return &OriginAnswer{Status: OriginExhausted, RetryAfter: budget.retryAfter(s.core.now)}
	}
	budget.grant(m, fromReserve, s.core.now)
	return grantedAnswer(OriginLeaseDuration)
}

func grantedAnswer(remaining time.Duration) *OriginAnswer {
	return &OriginAnswer{Status: OriginGranted, LeaseDuration: remaining}
}

func (m *LeaseOrigin) valid() bool {
	return m.Chunks.First >= 0 && m.Chunks.Count > 0 && m.Chunks.First <= MaximumChunks && m.Chunks.Count <= MaximumChunks &&
		m.Copy >= 0 && m.Size > 0 && m.Size <= m.TotalSize
}

// budget returns the budget of the manifest, and creates it at the first request.
// It returns false if the configuration does not use the manifest.
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

// blocks reports whether an earlier grant prevents the request. A grant of another
// member does so while its lease is running, and after that unless the request says
// that the chunks are lost. The requester's own grant does so only while its lease
// is running, and not if the request says that the chunks are lost. A grant of an
// upstream that is no longer a member does not.
func (c *core) blocks(g OriginGrant, m *LeaseOrigin) bool {
	if g.Holder == m.Upstream {
		return g.Expires > c.now && !m.Again
	}
	_, live := c.members.live[g.Holder]
	return live && (!m.Again || g.Expires > c.now)
}

// matches reports whether the grant is the answer to this request, which was
// resent. Requests without an ID can't be distinguished, so one for lost chunks
// always counts as a new request.
func (g OriginGrant) matches(m *LeaseOrigin) bool {
	if m.ID == 0 && m.Again {
		return false
	}
	return g.Holder == m.Upstream && g.Incarnation == m.Incarnation && g.ID == m.ID &&
		g.Copy == m.Copy && g.Chunks == m.Chunks && g.Size > 0
}

func (b *originBudget) overlapping(m *LeaseOrigin) []OriginGrant {
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

// subtract returns the parts of the grant before and after the chunks of the
// request. A part has Size 0, since its size is not known. It can no longer be
// returned, and its bytes stay counted as granted.
func (g OriginGrant) subtract(m *LeaseOrigin) []OriginGrant {
	if !g.overlaps(m) {
		return []OriginGrant{g}
	}
	var parts []OriginGrant
	end, requestEnd := g.Chunks.First+g.Chunks.Count, m.Chunks.First+m.Chunks.Count
	g.Size = 0
	if left := m.Chunks.First - g.Chunks.First; left > 0 {
		part := g
		part.Chunks.Count = left
		parts = append(parts, part)
	}
	if right := end - requestEnd; right > 0 {
		part := g
		part.Chunks = Chunks{First: requestEnd, Count: right}
		parts = append(parts, part)
	}
	return parts
}

// rollWindow starts a new window with a full reserve if the current one has ended.
func (b *originBudget) rollWindow(now Instant) {
	if b.Window.after(OriginWindow) <= now {
		b.Window = now
		b.Reserve = 0
	}
}

func (b *originBudget) fits(m *LeaseOrigin, fromReserve bool) bool {
	if len(b.Grants) >= MaximumOriginGrants {
		return false
	}
	if fromReserve {
		return b.Reserve+m.Size <= b.TotalSize
	}
	return b.Granted+m.Size <= b.TotalSize*identifier.ByteCount(b.Copies)
}

// listedSize returns the total size of the grants that count against the copies. It
// is at most Granted, which also includes the grants of which only parts are left.
func (b *originBudget) listedSize() identifier.ByteCount {
	var size identifier.ByteCount
	for _, g := range b.Grants {
		if !g.Reserve {
			size += g.Size
		}
	}
	return size
}

func (b *originBudget) retryAfter(now Instant) time.Duration {
	remaining := time.Duration(b.Window.after(OriginWindow) - now)
	return min(max(remaining, time.Second), originRetryAfter)
}

// grant adds a grant for the request and removes its chunks from the earlier
// grants.
func (b *originBudget) grant(m *LeaseOrigin, fromReserve bool, now Instant) {
	kept := make([]OriginGrant, 0, len(b.Grants)+1)
	for _, g := range b.Grants {
		kept = append(kept, g.subtract(m)...)
	}
	b.Grants = kept
	if fromReserve {
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
		Reserve:     fromReserve,
		Window:      b.Window,
	})
}

// returnOrigin takes back a grant under which nothing was read. It has no effect
// once the lease has ended.
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
	budget.undoGrant(i)
	return &MemberAnswer{Changed: true}
}

// undoGrant undoes a grant. One from the reserve stays listed with Size 0: its
// chunks were granted before, an earlier lease on them may still be running, and
// the next grant of them must count against the reserve again.
func (b *originBudget) undoGrant(i int) {
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

func (o *origin) usage() []OriginUse {
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
