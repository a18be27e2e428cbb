package registrar

import "celeryvalve/declarer"

// Departure returns the record of an upstream that accepts no new requests as it stands in the
// log of the control replicas.
func (r Record) Departure() declarer.Departure {
	return declarer.Departure{
		Upstream: r.Upstream, Incarnation: r.Incarnation, Sequence: r.Sequence, Epoch: r.Epoch, Service: r.Service, Address: r.Address,
		AvailabilityZone: r.AvailabilityZone, Region: r.Region, Slots: r.Slots, Gone: r.State == Gone,
	}
}

// DepartureRecord returns the record of a departure.
func DepartureRecord(d declarer.Departure) Record {
	state := Draining
	if d.Gone {
		state = Gone
	}
	return Record{
		Upstream: d.Upstream, Incarnation: d.Incarnation, Sequence: d.Sequence, Epoch: d.Epoch, Service: d.Service, Address: d.Address,
		AvailabilityZone: d.AvailabilityZone, Region: d.Region, Slots: d.Slots, State: state,
	}
}
