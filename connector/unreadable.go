package connector

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"celeryvalve/encoder"
)

const (
	// unreadableLogInterval and unreadableLogBurst bound the lines about messages that can't be
	// decoded: a peer may send such a message many times a second.
	unreadableLogInterval = time.Second
	unreadableLogBurst    = 10
)

// unknownKind is the kind under which messages of no known kind are counted.
const unknownKind encoder.Kind = "Unknown"

// unreadableError is the error of Receive for a message that can't be decoded.
type unreadableError struct {
	error
}

func (e unreadableError) Unwrap() error { return e.error }

// IsUnreadable reports whether Receive has returned err for one message that can't be decoded.
// The stream is intact, and the next call returns the message after it.
func IsUnreadable(err error) bool {
	var unreadable unreadableError
	return errors.As(err, &unreadable)
}

// UnreadableRecords returns the counter of the records that were left out of messages of the
// kind, of which they stood in the field.
func UnreadableRecords(set *metrics.Set, kind encoder.Kind, field string) *metrics.Counter {
	return set.GetOrCreateCounter(fmt.Sprintf("celeryvalve_unreadable_records_total{kind=%q,field=%q}", string(kind), field))
}

// unreadable counts and logs the received messages that can't be decoded.
type unreadable struct {
	metrics *metrics.Set
	logger  *zap.Logger
	limit   *rate.Limiter
}

func newUnreadable(set *metrics.Set, logger *zap.Logger) unreadable {
	if set == nil {
		set = metrics.NewSet()
	}
	return unreadable{metrics: set, logger: logger, limit: rate.NewLimiter(rate.Every(unreadableLogInterval), unreadableLogBurst)}
}

// note records that a message of the kind, or of no known kind if that is empty, can't be
// decoded.
func (u unreadable) note(peer Peer, kind encoder.Kind, err error) {
	if kind == "" {
		kind = unknownKind
	}
	u.metrics.GetOrCreateCounter(fmt.Sprintf("celeryvalve_unreadable_messages_total{kind=%q}", string(kind))).Inc()
	if u.limit.Allow() {
		u.logger.Warn("Can't read a message.", zap.String("peer", peer.Name), zap.Stringer("address", peer.Address),
			zap.String("kind", string(kind)), zap.Error(err))
	}
}

// noteLeftOut records that parts of a message were left out since they can't be decoded.
func (u unreadable) noteLeftOut(peer Peer, header encoder.Header) {
	for _, part := range header.LeftOut {
		UnreadableRecords(u.metrics, header.Kind, part.Field).Inc()
		if u.limit.Allow() {
			u.logger.Warn("Left out a record that can't be read.", zap.String("peer", peer.Name), zap.Stringer("address", peer.Address),
				zap.String("kind", string(header.Kind)), zap.String("field", part.Field), zap.Error(part.Err))
		}
	}
}
