package spreader

import (
	"net/netip"
	"time"

	"celeryvalve/declarer"
	"celeryvalve/encoder"
	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
	"celeryvalve/registrar"
)

// FollowRequest is the first message of a stream. It identifies the process that opens
// the stream, the follower.
type FollowRequest struct {
	Process string
	// Address is the address on which the follower accepts streams.
	Address netip.AddrPort
	Region  identifier.Region
	// AvailabilityZone is that of the follower.
	AvailabilityZone identifier.AvailabilityZone `cbor:",omitempty"`
	// Loads requests the loads of upstreams in addition to their records.
	Loads bool
	// Start tells the processes of one entry that follow each other apart.
	Start int64 `cbor:",omitempty"`
	// Digests holds those of the records that the follower has, eight bytes each, big-endian.
	// It is empty if these are few.
	Digests []byte `cbor:",omitempty"`
}

// Update is an update that either end of a stream sends to the other. An empty one
// is a heartbeat.
type Update struct {
	Records []registrar.Record `cbor:",omitempty"`
	// Refreshes are sent by a replica to the followers that want them, and by any other
	// process for the upstreams that reported to it.
	Refreshes []registrar.Refresh `cbor:",omitempty"`
	Loads     []registrar.Load    `cbor:",omitempty"`
	// WantsRefreshes is set by a follower that wants refreshes from this replica.
	WantsRefreshes bool `cbor:",omitempty"`
	// Revision is the revision of the sender's declared state.
	Revision declarer.Revision
	// Led reports that the sender is a control replica that knows the leader.
	Led bool `cbor:",omitempty"`
	// LedFor is how long it has known a leader, apart from short interruptions.
	LedFor time.Duration `cbor:",omitempty"`
	// StartedAgo is how long ago the sender, a control replica, started; for a follower of
	// this one alone, how long ago the replica that started last did.
	StartedAgo time.Duration `cbor:",omitempty"`
	// TableSum is the sum of the records of the sender, a control replica, if these are many.
	TableSum uint64 `cbor:",omitempty"`
	// Entries is the number of entries that the sender, a control replica, counts.
	Entries int `cbor:",omitempty"`
	// TakesRequests reports that the sender is an entry that callers send requests to.
	TakesRequests bool `cbor:",omitempty"`
	// Serving is set when the sender, a control replica, knows other entries that take
	// requests than before.
	Serving *ServingEntries `cbor:",omitempty"`
	// Caches is set when the sender, a control replica, knows other entries in the
	// receiver's region than before.
	Caches *CacheList `cbor:",omitempty"`
	// Replicas is set when the list changed. A control replica sends its own list,
	// any other process the newest list that it has received, so that any process
	// can be a seed.
	Replicas *Replicas `cbor:",omitempty"`
	// Quarantine is set when the summary changed. It is sent with loads.
	Quarantine *quarantiner.Summary `cbor:",omitempty"`
}

// isEmpty reports whether the update carries no more than Revision, Led, Entries and
// TakesRequests.
func (t *Update) isEmpty() bool {
	return len(t.Records) == 0 && len(t.Refreshes) == 0 && len(t.Loads) == 0 && t.Replicas == nil && t.Quarantine == nil && t.Serving == nil && t.Caches == nil
}

// maxListLength is the number of records, refreshes and loads of one update. Even with the longest
// names these stay below encoder.MaxFrameSize.
const maxListLength = 512

// parts returns the update as one or more updates whose lists are not too long for a message.
func (t *Update) parts() []*Update {
	rest := *t
	var parts []*Update
	for first := true; first || len(rest.Records)+len(rest.Refreshes)+len(rest.Loads) > 0; first = false {
		part := rest
		part.Records, rest.Records = cutList(rest.Records)
		part.Refreshes, rest.Refreshes = cutList(rest.Refreshes)
		part.Loads, rest.Loads = cutList(rest.Loads)
		rest.Serving, rest.Caches, rest.Replicas, rest.Quarantine = nil, nil, nil, nil
		parts = append(parts, &part)
	}
	return parts
}

func cutList[E any](list []E) (head, tail []E) {
	n := min(len(list), maxListLength)
	return list[:n:n], list[n:]
}

// CacheList lists the entries of one region, all of which pass on the weights that they
// hold, by their addresses in rising order.
type CacheList struct {
	Addresses []netip.AddrPort
}

// Replicas is a list of the control replicas.
type Replicas struct {
	// Index is the log index of the membership change that produced the list. Of
	// two lists the one with the higher index is newer.
	Index     uint64
	Addresses []netip.AddrPort
	// Disks holds the identities of the disks of the replicas and of their standbys, which
	// have no place in Addresses.
	Disks []identifier.Replica
	// Regions maps the addresses to their regions, where these are known.
	Regions map[string]identifier.Region `cbor:",omitempty"`
	// Led reports that the control replica that created the list knows the leader.
	Led bool
}

// FetchDeclarationRequest requests the declared state, with the declaration as the
// difference from the version that the requester has.
type FetchDeclarationRequest struct {
	// Have is the version of the requester's declaration, or 0 for none.
	Have identifier.ConfigurationVersion
	// WeightsOnly omits the parts of the declaration that only concern callers:
	// routes, organisations and limits.
	WeightsOnly bool
}

// FetchDeclarationResponse answers FetchDeclarationRequest. Delta holds the whole declaration if the
// sender no longer keeps the version that the requester has. Releases and Evacuations are
// always complete. The declaration has version 0 if nothing was declared yet.
type FetchDeclarationResponse struct {
	Revision declarer.Revision
	Delta    declarer.EncodedDelta
	Releases map[identifier.Model]declarer.Release

	Evacuations declarer.Evacuations `cbor:",omitempty"`
}

// The kinds of messages that a stream can begin with.
const (
	FollowKind           encoder.Kind = "Spreader.Follow"
	FetchDeclarationKind encoder.Kind = "Spreader.FetchDeclared"
)

const updateKind encoder.Kind = "Spreader.Told"

// Messages returns the messages of this package, for registration with the
// encoder.
func Messages() []encoder.MessageType {
	return []encoder.MessageType{
		encoder.Message[FollowRequest](FollowKind),
		// What can't be read of these must not keep back the revision, nor who leads.
		encoder.Message[Update](updateKind).Optional(recordsField, refreshesField, loadsField, "Serving", "Caches", "Replicas", "Quarantine"),
		encoder.Message[FetchDeclarationRequest](FetchDeclarationKind),
		encoder.Message[FetchDeclarationResponse]("Spreader.DeclaredAnswer"),
	}
}
