package spreader

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryvalve/identifier"
	"celeryvalve/registrar"
)

// With many upstreams, the whole table must not be sent again whenever a stream begins: after
// a restart of all replicas it would be sent by each process to each replica, and back, over
// links that consensus needs. A follower says which records it has, and sends its own only if
// the replica turns out not to have them from others.
const (
	// largeTable is the number of records from which on that is worth a message.
	largeTable = 128
	// knownLifetime is how long a replica keeps what a follower has said that it has.
	knownLifetime = 10 * time.Second
	// backlogSpread is the time for each entry over which the followers of a replica spread the
	// sending of their tables, up to maxBacklogSpread.
	backlogSpread    = 100 * time.Millisecond
	maxBacklogSpread = 8 * time.Second
	// backlogRetries is how many heartbeats later a table that differs is compared again
	// before it is sent: changes may be on their way.
	backlogRetries = 2
	digestSize     = 8 // bytes of an encoded digest
)

// knownRecords holds the digests of the records that a follower had when its stream began.
type knownRecords struct {
	digests map[registrar.Digest]struct{}
	until   time.Time
	// sent holds the upstreams whose record the follower was sent since: it has another one.
	sent map[identifier.Upstream]struct{}
}

// encodeDigests returns the digests of a large table, and nothing for a small one. The caller
// holds s.mu.
func (s *Spreader) encodeDigests() []byte {
	if s.table.Len() < largeTable {
		return nil
	}
	var b []byte
	for _, d := range s.table.Digests() {
		b = binary.BigEndian.AppendUint64(b, uint64(d))
	}
	return b
}

// newKnownRecords decodes what encodeDigests has encoded. It returns nil for no digests.
func newKnownRecords(now time.Time, encoded []byte) *knownRecords {
	if len(encoded) == 0 {
		return nil
	}
	k := &knownRecords{
		digests: make(map[registrar.Digest]struct{}, len(encoded)/digestSize),
		until:   now.Add(knownLifetime),
		sent:    make(map[identifier.Upstream]struct{}),
	}
	for ; len(encoded) >= digestSize; encoded = encoded[digestSize:] {
		k.digests[registrar.Digest(binary.BigEndian.Uint64(encoded))] = struct{}{}
	}
	return k
}

// without removes the records that the follower has, unless it was sent another one of the
// same upstream since.
func (k *knownRecords) without(records []registrar.Record) []registrar.Record {
	return slices.DeleteFunc(records, func(r registrar.Record) bool {
		if _, sent := k.sent[r.Upstream]; !sent {
			if _, has := k.digests[r.Digest()]; has {
				return true
			}
		}
		k.sent[r.Upstream] = struct{}{}
		return false
	})
}

// backlog is the table of a follower as it was when its stream began.
type backlog struct {
	upTo    registrar.Cursor
	due     time.Time
	retries int
}

// newBacklog returns the backlog of a stream that begins, or nil if the table is small and is
// sent at once. The caller holds s.mu.
func (s *Spreader) newBacklog() *backlog {
	if s.table.Len() < largeTable {
		return nil
	}
	spread := max(heartbeatInterval, min(maxBacklogSpread, time.Duration(s.entries)*backlogSpread))
	delay := time.Duration(xxhash.Sum64String(s.cfg.Process) % uint64(spread))
	if !s.cfg.FollowAll {
		delay += maxBacklogSpread // entries have the same records
	}
	return &backlog{upTo: s.table.Cursor(), due: s.clock.Now().Add(delay)}
}

// takeBacklog reports whether the stream's backlog is to be sent now. It is dropped if the
// replica has the same table meanwhile. The caller holds s.mu.
func (s *Spreader) takeBacklog(now time.Time, sent *sentState) bool {
	b := sent.backlog
	switch {
	case b == nil || now.Before(b.due):
		return false
	case sent.peerSum != 0 && sent.peerSum == s.table.Sum():
		sent.backlog = nil
		return false
	case sent.peerSum != 0 && b.retries < backlogRetries:
		b.retries++
		b.due = now.Add(heartbeatInterval)
		return false
	default:
		sent.backlog = nil
		return true
	}
}

// nextRecords returns the records that the other end of the stream is to be sent now. The
// caller holds s.mu.
func (s *Spreader) nextRecords(sent *sentState) []registrar.Record {
	now := s.clock.Now()
	if s.takeBacklog(now, sent) {
		sent.cursor = 0
	}
	var records []registrar.Record
	records, sent.cursor = s.table.Since(now, sent.cursor)
	records = s.withoutReceived(records, sent)
	if sent.known == nil {
		return records
	}
	if now.After(sent.known.until) {
		sent.known = nil
		return records
	}
	return sent.known.without(records)
}

// largeTableSum returns the sum of a large table, and 0 for a small one. The caller holds s.mu.
func (s *Spreader) largeTableSum() uint64 {
	if s.table.Len() < largeTable {
		return 0
	}
	return s.table.Sum()
}
