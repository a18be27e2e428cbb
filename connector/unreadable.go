package connector

import (
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
