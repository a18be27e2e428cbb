package subscriber

import (
	"net/netip"
	"time"

	"celeryvalve/configurer"
	"celeryvalve/encoder"
	"celeryvalve/identifier"
)

// The kinds of messages that open a stream.
const (
	SubscribeKind            encoder.Kind = "Subscribe"
	ConfigurationRequestKind encoder.Kind = "ConfigurationRequest"
)

// Subscribe opens a subscription.
type Subscribe struct {
	Process  string
	Need     configurer.Need
	Upstream identifier.Upstream
	// Have is the configuration version of the subscriber, HaveMembers the index
	// of the members that it knows. Zero asks for everything.
	Have        identifier.ConfigurationVersion
	HaveMembers uint64
}

// Update carries what changed. An empty one shows that the replica lives.
type Update struct {
	Configuration *configurer.Delta
	Members       *MembersUpdate
	Quarantine    *Quarantine
	// Renewed is the sequence of the last report that the leader took as a
	// renewal of the upstream's lease. Zero: none yet.
	Renewed uint64
	// Superseded says that a newer incarnation of the upstream is registered.
	Superseded bool
}

// Quarantine lists the requests that crashed upstreams, by fingerprint.
type Quarantine struct {
	Index uint64
	// Suspects run alone, Refused run nowhere.
	Suspects []uint64
	Refused  []uint64
}

// MembersUpdate leads the list of members to the index.
type MembersUpdate struct {
	Index   uint64
	Whole   bool
	Changed []Member
	Removed []identifier.Upstream
}

// Member is one registered upstream.
type Member struct {
	Upstream         identifier.Upstream
	Incarnation      identifier.Incarnation
	Token            identifier.FencingToken // rises with each join
	Address          netip.AddrPort
	Instance         identifier.Instance
	Region           identifier.Region
	AvailabilityZone identifier.AvailabilityZone
	Service          identifier.Service
	ReportsLoad      bool
	Leaving          bool
	// Ready says that the upstream serves what is named here.
	Ready    bool
	Model    identifier.Model
	Version  identifier.WeightVersion
	Adapters map[identifier.Adapter]identifier.WeightVersion
}

// Report acknowledges what is in force and renews the lease.
type Report struct {
	Sequence    uint64
	Version     identifier.ConfigurationVersion
	Members     uint64
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	// Transfers is set when it changed since the last report.
	Transfers []Transfer
}

// Transfer is the progress of one manifest on one instance.
type Transfer struct {
	Manifest   identifier.Digest
	Model      identifier.Model
	Adapter    identifier.Adapter
	Version    identifier.WeightVersion
	Chunks     int
	ChunksHeld int
	Size       identifier.ByteCount
	SizeHeld   identifier.ByteCount
	FromOrigin identifier.ByteCount
	FromPeers  identifier.ByteCount
	Started    time.Time
	Ready      time.Time
	Blamed     []identifier.Upstream
	Problem    string
}

// ConfigurationRequest asks any process for what changed after Have.
type ConfigurationRequest struct {
	Need configurer.Need
	Have identifier.ConfigurationVersion
}

// ConfigurationAnswer carries the difference, or nothing when the process does
// not know all that was asked for.
type ConfigurationAnswer struct {
	Configuration *configurer.Delta
}

// Messages returns the entries of the subscription.
func Messages() []encoder.Entry {
	return []encoder.Entry{
		encoder.Message[Subscribe](SubscribeKind),
		encoder.Message[Update]("Update"),
		encoder.Message[Report]("Report"),
		encoder.Message[ConfigurationRequest](ConfigurationRequestKind),
		encoder.Message[ConfigurationAnswer]("ConfigurationAnswer"),
	}
}
