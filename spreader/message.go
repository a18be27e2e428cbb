package spreader

import (
	"net/netip"

	"celeryvalve/declarer"
	"celeryvalve/encoder"
	"celeryvalve/identifier"
	"celeryvalve/registrar"
)

// Follow opens a stream to a process that others follow.
type Follow struct {
	Process string
	// Address is where the follower itself is followed.
	Address netip.AddrPort
	Region  identifier.Region
	// Loads asks for the loads of upstreams, too.
	Loads bool
}

// Told is what either end of a stream tells the other. An empty one shows that
// the sender lives.
type Told struct {
	Records   []registrar.Record  `cbor:",omitempty"`
	Refreshes []registrar.Refresh `cbor:",omitempty"`
	Loads     []registrar.Load    `cbor:",omitempty"`
	// Revision is that of what is declared at the sender.
	Revision declarer.Revision
	// Led says that the sender is a control replica that hears a leader.
	Led bool `cbor:",omitempty"`
	// Replicas are set when they changed: by a control replica, and by any other
	// process as it heard of them, so that any process can be a seed.
	Replicas *Replicas `cbor:",omitempty"`
}

// isEmpty reports whether the message only shows that the sender lives.
func (t *Told) isEmpty() bool {
	return len(t.Records) == 0 && len(t.Refreshes) == 0 && len(t.Loads) == 0 && t.Replicas == nil
}

// Replicas says where the control replicas are.
type Replicas struct {
	// Index is the position in the log of the membership, so that a newer list is
	// told from an older one.
	Index     uint64
	Addresses []netip.AddrPort
	// Disks are the identities of the replicas, in the order of Addresses.
	Disks []identifier.Replica
	// Regions are those of the addresses, as far as they are known.
	Regions map[string]identifier.Region `cbor:",omitempty"`
	// Led says that the sender hears a leader.
	Led bool
}

// FetchDeclared asks for what leads on from a version.
type FetchDeclared struct {
	Have identifier.ConfigurationVersion
	// WeightsOnly leaves out what concerns callers.
	WeightsOnly bool
}

// DeclaredAnswer answers FetchDeclared.
type DeclaredAnswer struct {
	Revision declarer.Revision
	Delta    declarer.PackedDelta
	Releases map[identifier.Model]declarer.Release
}

// The kinds of messages that open a stream.
const (
	FollowKind        encoder.Kind = "Spreader.Follow"
	FetchDeclaredKind encoder.Kind = "Spreader.FetchDeclared"
)

// Messages returns the entries of the exchange.
func Messages() []encoder.Entry {
	return []encoder.Entry{
		encoder.Message[Follow](FollowKind),
		encoder.Message[Told]("Spreader.Told"),
		encoder.Message[FetchDeclared](FetchDeclaredKind),
		encoder.Message[DeclaredAnswer]("Spreader.DeclaredAnswer"),
	}
}
