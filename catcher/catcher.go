package catcher

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Revision counts the changes of a state. Zero is that of a process that holds none.
type Revision uint64

// Config configures a Catcher. All fields must be set.
type Config struct {
	// HedgeDelay is how long a fetch may take before a second peer is asked for the same.
	HedgeDelay time.Duration
	// RetryDelay is the least time between the beginnings of two fetches from one peer, if
	// the first brought nothing.
	RetryDelay time.Duration
	// Timeout is how long a fetch may take. It doubles after each fetch from the same peer
	// that expired, up to MaxTimeout.
	Timeout, MaxTimeout time.Duration
	// AbandonDelay is how long peers must have confirmed an older revision before one that
	// nobody holds any more is given up.
	AbandonDelay time.Duration
	// Salt differs between processes, so that they ask different ones of equal peers.
	Salt uint64
}

// Event is one of Told, Held, Left and Ended.
type Event interface{ isEvent() }

// Told is the revision that a peer holds, by its latest message.
type Told struct {
	Peer     netip.AddrPort
	Revision Revision
	// Confirmed means that the peer knows which revision is the newest one.
	Confirmed bool
}

// Held is the revision that this process holds from now on.
type Held struct{ Revision Revision }

// Left means that nothing more is heard from the peer.
type Left struct{ Peer netip.AddrPort }

// Ended means that the fetch from the peer has ended. A newer state that it brought must be
// reported by Held before.
type Ended struct {
	Peer netip.AddrPort
	// Revision is that of the answer, or zero without one.
	Revision Revision
	// Expired means that the fetch took longer than its timeout.
	Expired bool
}

func (Told) isEvent()  {}
func (Held) isEvent()  {}
func (Left) isEvent()  {}
func (Ended) isEvent() {}

// Fetch is the effect to fetch the state from a peer.
type Fetch struct {
	Peer    netip.AddrPort
	Timeout time.Duration
}

// Progress compares the revision that a process holds with the highest one that it was told.
type Progress struct {
	Held, Announced Revision
	// BehindSince is since when Announced is higher than Held, or zero if it is not.
	BehindSince time.Time
}

// Catcher decides on the fetches of one process. It is not safe for concurrent use.
type Catcher struct {
	cfg      Config
	progress Progress
	peers    map[netip.AddrPort]*peer
	// confirmedSince is since when peers have confirmed that no revision above the held one
	// exists, or zero.
	confirmedSince time.Time
	confirmedAt    time.Time
}

// peer is what is known of a peer that has told a newer revision, or has lately been asked.
type peer struct {
	told Revision
	// timeout is that of the next fetch, or zero for the first one.
	timeout time.Duration
	// notBefore is when the peer may be asked next.
	notBefore time.Time
	// fetch is the fetch in progress, or nil.
	fetch *fetch
}

// fetch is a fetch in progress, with the revisions that the peer had told and this process
// held as it began.
type fetch struct {
	began      time.Time
	told, held Revision
}

// New returns the Catcher of a process that holds nothing.
func New(cfg Config) *Catcher {
	return &Catcher{cfg: cfg, peers: make(map[netip.AddrPort]*peer)}
}

// Progress returns how far this process has come.
func (c *Catcher) Progress() Progress {
	return c.progress
}

// ConfirmedAt returns when a peer that knows the newest revision last told one while this process
// was not behind, or zero if none has.
func (c *Catcher) ConfirmedAt() time.Time {
	return c.confirmedAt
}

// Reduce takes an event and returns the fetches to begin.
func (c *Catcher) Reduce(now time.Time, event Event) []Fetch {
	switch e := event.(type) {
	case Told:
		c.told(now, e)
	case Held:
		c.progress.Held = max(c.progress.Held, e.Revision)
		c.updateAnnounced(now, c.progress.Held)
	case Left:
		if p, ok := c.peers[e.Peer]; ok {
			p.told = 0
		}
	case Ended:
		c.ended(now, e)
	}
	return c.next(now)
}

func (c *Catcher) told(now time.Time, e Told) {
	c.updateAnnounced(now, e.Revision)
	if e.Confirmed && c.progress.BehindSince.IsZero() {
		c.confirmedAt = now
	}
	if p, ok := c.peers[e.Peer]; ok {
		p.told = e.Revision
	} else if e.Revision > c.progress.Held {
		c.peers[e.Peer] = &peer{told: e.Revision, timeout: c.cfg.Timeout}
	}
	switch {
	case c.hasNewerPeer():
		c.confirmedSince = time.Time{}
	case e.Confirmed && c.confirmedSince.IsZero():
		c.confirmedSince = now
	case e.Confirmed && now.Sub(c.confirmedSince) >= c.cfg.AbandonDelay:
		c.progress.Announced, c.progress.BehindSince = c.progress.Held, time.Time{}
	}
}

// updateAnnounced raises the highest revision known to r, and brings the time since when this
// process is behind up to date.
func (c *Catcher) updateAnnounced(now time.Time, r Revision) {
	c.progress.Announced = max(c.progress.Announced, r)
	switch {
	case c.progress.Announced <= c.progress.Held:
		c.progress.BehindSince = time.Time{}
	case c.progress.BehindSince.IsZero():
		c.progress.BehindSince = now
	}
}

func (c *Catcher) hasNewerPeer() bool {
	for _, p := range c.peers {
		if p.told > c.progress.Held {
			return true
		}
	}
	return false
}

func (c *Catcher) ended(now time.Time, e Ended) {
	p, ok := c.peers[e.Peer]
	if !ok || p.fetch == nil {
		return
	}
	// The held revision must have risen as well: an answer that can't be applied is no progress.
	began, madeProgress := p.fetch.began, min(e.Revision, c.progress.Held) > p.fetch.held
	p.fetch = nil
	if madeProgress {
		p.timeout = c.cfg.Timeout
		return
	}
	p.notBefore = began.Add(c.cfg.RetryDelay)
	if p.notBefore.Before(now) {
		p.notBefore = now
	}
	if e.Expired {
		p.timeout = min(2*p.timeout, c.cfg.MaxTimeout)
	}
}

// next returns the fetch to begin now, if any, and forgets peers that have nothing new.
func (c *Catcher) next(now time.Time) []Fetch {
	var best netip.AddrPort
	var expected Revision
	var lastBegan time.Time
	for addr, p := range c.peers {
		switch {
		case p.fetch != nil:
			expected = max(expected, p.fetch.told)
			if p.fetch.began.After(lastBegan) {
				lastBegan = p.fetch.began
			}
		case now.Before(p.notBefore):
		case p.told <= c.progress.Held:
			delete(c.peers, addr)
		case !best.IsValid() || c.isBetter(addr, best):
			best = addr
		}
	}
	if !best.IsValid() {
		return nil
	}
	p := c.peers[best]
	if p.told <= expected && now.Sub(lastBegan) < c.cfg.HedgeDelay {
		return nil
	}
	p.fetch = &fetch{began: now, told: p.told, held: c.progress.Held}
	return []Fetch{{Peer: best, Timeout: p.timeout}}
}

// isBetter reports whether a is asked rather than b: it has told a higher revision, or the same
// one and comes first in the order of this process.
func (c *Catcher) isBetter(a, b netip.AddrPort) bool {
	if toldA, toldB := c.peers[a].told, c.peers[b].told; toldA != toldB {
		return toldA > toldB
	}
	return c.rank(a) < c.rank(b)
}

func (c *Catcher) rank(addr netip.AddrPort) uint64 {
	return xxhash.Sum64String(addr.String()) ^ c.cfg.Salt
}
