package declarer

import (
	"fmt"
	"maps"
	"time"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Evacuate orders that requests are no longer sent to the upstreams of an availability
// zone, or takes that order back. An order that is in force already, or that was taken
// back already, changes nothing but the revision, so that an earlier order that is still on
// its way does not undo it. The answer is an Answer, a Rejected if the zone is missing, or a
// Superseded.
type Evacuate struct {
	AvailabilityZone identifier.AvailabilityZone
	Finished         bool
	// Seen is the revision that the process which received the order knew then. It tells
	// an order that was held up on its way from one that was given after the last one.
	Seen Revision
}

// Superseded is the answer to an Evacuate that would undo a later order for the zone, one
// that its receiver did not know of. It changes nothing.
type Superseded struct {
	AvailabilityZone identifier.AvailabilityZone
	// Revision is the current revision.
	Revision Revision
}

// Err returns the answer as an error.
func (s *Superseded) Err() error {
	return explainer.New(explainer.Unavailable, fmt.Sprintf("zone %q got another order meanwhile", s.AvailabilityZone),
		"send the order again if it is still wanted")
}

// Evacuations are the availability zones whose upstreams get no requests, each with the
// time of its order by the leader's wall clock. Maps of this type are immutable.
type Evacuations map[identifier.AvailabilityZone]time.Time

// zoneOrders holds the revision of the last order for each zone, also of those that were taken
// back.
type zoneOrders map[identifier.AvailabilityZone]Revision

// evacuate puts an order in force or takes it back.
func (s *State) evacuate(at time.Time, c *Evacuate) any {
	if c.AvailabilityZone == "" {
		return &Rejected{Problem: "the order to evacuate has no availability zone"}
	}
	_, evacuated := s.current.Evacuations[c.AvailabilityZone]
	changes := evacuated == c.Finished
	if s.orders[c.AvailabilityZone] > c.Seen {
		if changes {
			return &Superseded{AvailabilityZone: c.AvailabilityZone, Revision: s.current.Revision}
		}
		return s.answer(false)
	}
	next := s.nextRevision()
	if changes {
		next.Evacuations = next.Evacuations.with(at, c)
	}
	s.current = next
	if s.orders == nil {
		s.orders = make(zoneOrders)
	}
	s.orders[c.AvailabilityZone] = next.Revision
	return s.answer(changes)
}

// with returns the evacuations after the order.
func (e Evacuations) with(at time.Time, c *Evacuate) Evacuations {
	changed := make(Evacuations, len(e)+1)
	maps.Copy(changed, e)
	if c.Finished {
		delete(changed, c.AvailabilityZone)
	} else {
		changed[c.AvailabilityZone] = at
	}
	return changed
}
