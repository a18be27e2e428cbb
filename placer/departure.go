package placer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"celeryvalve/declarer"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/registrar"
)

const (
	// departureTimeout limits the wait for the log. An upstream waits one second for the
	// confirmation of its report.
	departureTimeout = 700 * time.Millisecond
	// departureRenewal is how often the log takes a departure that is reported again and
	// again. It is below declarer.DepartureRetention.
	departureRenewal = 30 * time.Second
	// maxClockDifference is how far the wall clocks of two replicas may differ, also after a
	// step.
	maxClockDifference = 30 * time.Second
)

// reportDeparture records that an upstream accepts no new requests, and returns whether that
// changed what is known of it. It returns an error of kind Unavailable unless the record is in the
// log of the control replicas: an upstream that leaves may report only once, and a process that
// stood still may say later that it is ready.
func (c *controlAPI) reportDeparture(ctx context.Context, r registrar.Record) (bool, error) {
	changed, err := c.spreader.Report(r)
	if err != nil {
		return changed, err
	}
	if known, ok := c.spreader.Find(r.Upstream); ok {
		r.Epoch = known.Epoch
	}
	now := c.clock.Now()
	if c.departures.holds(now, r) {
		return changed, nil
	}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	if err := c.submit(ctx, &declarer.Depart{Departure: r.Departure()}); err != nil {
		c.log.Warn("Can't confirm a departure.", zap.String("upstream", string(r.Upstream)), zap.String("state", string(r.State)), zap.Error(err))
		return changed, explainer.Wrap(err, explainer.KindOf(err),
			fmt.Sprintf("the log of the control replicas does not hold that upstream %s leaves", r.Upstream), "report to another process")
	}
	c.departures.add(now, r)
	return changed, nil
}

// confirmedDepartures holds the departures that this process knows to be in the log, so that
// an upstream that reports for as long as it drains takes one entry of the log, not one a report.
type confirmedDepartures struct {
	mu   sync.Mutex
	list map[identifier.Upstream]confirmedDeparture
}

type confirmedDeparture struct {
	incarnation identifier.Incarnation
	epoch       uint64
	state       registrar.State
	at          time.Time
}

// holds reports whether the departure is in the log, and was put there not long ago.
func (c *confirmedDepartures) holds(now time.Time, r registrar.Record) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.list[r.Upstream]
	return ok && known.incarnation == r.Incarnation && known.epoch == r.Epoch && known.state == r.State && now.Sub(known.at) < departureRenewal
}

func (c *confirmedDepartures) add(now time.Time, r registrar.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, known := range c.list {
		if now.Sub(known.at) >= departureRenewal {
			delete(c.list, name)
		}
	}
	if c.list == nil {
		c.list = make(map[identifier.Upstream]confirmedDeparture)
	}
	c.list[r.Upstream] = confirmedDeparture{incarnation: r.Incarnation, epoch: r.Epoch, state: r.State, at: now}
}

// spreadDepartures passes the departures that were recorded since the last call to the spreader.
// Those that other processes have forgotten by now are left out.
func (m *stateMachine) spreadDepartures() {
	var records []registrar.Record
	for _, d := range m.Departures(m.departuresSpread) {
		m.departuresSpread = max(m.departuresSpread, d.Index)
		if m.clock.Now().Sub(d.At) <= declarer.DepartureRetention+maxClockDifference {
			records = append(records, registrar.DepartureRecord(d.Departure))
		}
	}
	if len(records) > 0 {
		m.spreader.RecordDepartures(records)
	}
}
