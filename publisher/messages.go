package publisher

import (
	"celeryvalve/encoder"
	"celeryvalve/identifier"
)

// RenewKind is the kind of the call that renews leases at the leader.
const RenewKind encoder.Kind = "RenewLeases"

// RenewLeases carries the upstreams that reported to one replica.
type RenewLeases struct {
	Renewals []Renewal
}

// Renewal is one upstream's wish to keep its lease.
type Renewal struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
}

// RenewAnswer says which renewals were refused. Without Leading none was taken.
type RenewAnswer struct {
	Leading bool
	Refused []identifier.Upstream
}

// Messages returns the entries of the calls between replicas.
func Messages() []encoder.Entry {
	return []encoder.Entry{
		encoder.Message[RenewLeases](RenewKind),
		encoder.Message[RenewAnswer]("RenewAnswer"),
	}
}
