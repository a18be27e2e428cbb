package publisher

import (
	"celeryvalve/encoder"
	"celeryvalve/identifier"
)

// RenewKind is the kind of the call with which a replica renews leases at the leader.
const RenewKind encoder.Kind = "RenewLeases"

// RenewLeases carries the renewals of the upstreams that reported to one replica.
type RenewLeases struct {
	Renewals []Renewal
}

// Renewal asks the leader to renew the lease of one upstream.
type Renewal struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
}

// RenewAnswer is the leader's answer to RenewLeases.
type RenewAnswer struct {
	Leading bool                  // false: the replica can't confirm that it leads, and renewed no lease
	Refused []identifier.Upstream // their leases were not renewed
}

// Messages returns the codec entries of the messages between replicas.
func Messages() []encoder.MessageType {
	return []encoder.MessageType{
		encoder.Message[RenewLeases](RenewKind),
		encoder.Message[RenewAnswer]("RenewAnswer"),
	}
}
