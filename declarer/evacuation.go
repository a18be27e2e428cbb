package declarer

import (
	"time"

	"celeryvalve/identifier"
)

// Evacuate orders that requests are no longer sent to the upstreams of an availability
// zone, or takes that order back. An order that is in force already, or that was taken
// back already, changes nothing. The answer is an Answer, or a Rejected if the zone is
// missing.
type Evacuate struct {
	AvailabilityZone identifier.AvailabilityZone
	Finished         bool
}

// Evacuations are the availability zones whose upstreams get no requests, each with the
// time of its order by the leader's wall clock. Maps of this type are immutable.
type Evacuations map[identifier.AvailabilityZone]time.Time
