package spreader

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"celeryvalve/connector"
	"celeryvalve/encoder"
	"celeryvalve/identifier"
	"celeryvalve/registrar"
)

// A record that can't be read, or names what not every process can hold, is left out: what else
// an update says, above all the revision of the declared state, must not depend on it.

// Fields of an Update that hold records of upstreams.
const (
	recordsField   = "Records"
	refreshesField = "Refreshes"
	loadsField     = "Loads"
)

const (
	// renewDelay is how long a stream goes on after a message that could not be read. A new
	// one brings what that message may have held.
	renewDelay = 10 * time.Second
	// leftOutLogInterval and leftOutLogBurst bound the lines about records that are left out.
	leftOutLogInterval = time.Second
	leftOutLogBurst    = 10
)

var errMissedMessage = errors.New("a message could not be read; a new stream brings its contents")

func newLeftOutLimit() *rate.Limiter {
	return rate.NewLimiter(rate.Every(leftOutLogInterval), leftOutLogBurst)
}

// checkRecord returns the error of Check, which it counts and logs.
func (s *Spreader) checkRecord(kind encoder.Kind, peer string, r registrar.Record) error {
	err := r.Check()
	if err != nil {
		s.noteLeftOut(kind, recordsField, peer, err)
	}
	return err
}

func (s *Spreader) noteLeftOut(kind encoder.Kind, field, peer string, err error) {
	connector.UnreadableRecords(s.cfg.Metrics, kind, field).Inc()
	if s.leftOutLimit.Allow() {
		s.log.Warn("Left out a record that names what not every process can read.", zap.String("peer", peer),
			zap.String("kind", string(kind)), zap.String("field", field), zap.Error(err))
	}
}

// leaveOutUnreadable removes from the update what not every process can hold.
func (s *Spreader) leaveOutUnreadable(update *Update, peer string) {
	update.Records = slices.DeleteFunc(update.Records, func(r registrar.Record) bool {
		return s.checkRecord(updateKind, peer, r) != nil
	})
	update.Loads = slices.DeleteFunc(update.Loads, func(l registrar.Load) bool {
		err := identifier.CheckName("upstream", l.Upstream)
		if err != nil {
			s.noteLeftOut(updateKind, loadsField, peer, err)
		}
		return err != nil
	})
}

// incoming receives the updates of one stream.
type incoming struct {
	spreader *Spreader
	stream   *connector.Stream
	// renewAt is when the stream ends for a new one, or zero if it has missed no message.
	renewAt time.Time
}

// next returns the next update that can be read, within heartbeatTimeout.
func (in *incoming) next(ctx context.Context) (*Update, error) {
	clock := in.spreader.clock
	if !in.renewAt.IsZero() && !clock.Now().Before(in.renewAt) {
		return nil, errMissedMessage
	}
	until := clock.Now().Add(heartbeatTimeout)
	for {
		update, err := in.spreader.receive(ctx, in.stream)
		if !connector.IsUnreadable(err) || !clock.Now().Before(until) {
			return update, err
		}
		if in.renewAt.IsZero() {
			in.renewAt = clock.Now().Add(renewDelay)
		}
	}
}
