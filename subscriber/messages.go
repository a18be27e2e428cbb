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
	Process  string              // the name of the subscribing process
	Need     configurer.Need     // the part of the configuration that it needs
	Upstream identifier.Upstream // the upstream of an agent; empty for other processes
	// Have is the subscriber's configuration version, and HaveMembers the index of its
	// list of members. Zero requests everything.
	Have        identifier.ConfigurationVersion
	HaveMembers uint64
}

// Update carries the changes since the previous update. A nil field has not changed.
// An update without changes shows that the replica is alive.
type Update struct {
	Configuration *configurer.Delta
	Members       *MembersUpdate
	Quarantine    *Quarantine
	// Renewed is the sequence of the latest report for which the leader renewed the
	// upstream's lease. Zero means none yet.
	Renewed uint64
	// Superseded means that the leader refused to renew the lease, because this
	// incarnation of the upstream is not the registered member.
	Superseded bool
}

// Quarantine lists the fingerprints of the requests that crashed upstreams.
type Quarantine struct {
	Index    uint64   // the log index of the latest change of the lists
	Suspects []uint64 // run only while no other request runs on the upstream
	Refused  []uint64 // run on no upstream
}

// MembersUpdate brings a list of members up to date with the state at Index.
type MembersUpdate struct {
	Index   uint64
	Whole   bool // Changed is the complete list; drop all other members
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
	// Ready means that the upstream serves the Model, Version and Adapters below.
	Ready    bool
	Model    identifier.Model
	Version  identifier.WeightVersion
	Adapters map[identifier.Adapter]identifier.WeightVersion
}

// Report acknowledges the configuration and members of a process, and asks to renew the
// lease of its upstream.
type Report struct {
	Sequence    uint64                          // counts the reports of the process, from 1
	Version     identifier.ConfigurationVersion // in force in the process
	Members     uint64                          // the index of its list of members
	Upstream    identifier.Upstream             // set if the report asks to renew its lease
	Incarnation identifier.Incarnation
	// Transfers is nil if it has not changed since the last report.
	Transfers []Transfer
}

// Transfer is the progress of the transfer of one manifest to one instance.
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
	Ready      time.Time             // when the instance first served the weights; zero: not yet
	Blamed     []identifier.Upstream // the peers that sent corrupt chunks or made no progress
	Problem    string
}

// ConfigurationRequest asks a peer for the changes of the configuration after the
// version Have.
type ConfigurationRequest struct {
	Need configurer.Need
	Have identifier.ConfigurationVersion
}

// ConfigurationAnswer carries the delta. Configuration is nil if the peer's version is
// not newer, or if the peer does not have every service of the request's Need.
type ConfigurationAnswer struct {
	Configuration *configurer.Delta
}

// Messages returns the codec entries of the messages of this package.
func Messages() []encoder.MessageType {
	return []encoder.MessageType{
		encoder.Message[Subscribe](SubscribeKind),
		encoder.Message[Update]("Update"),
		encoder.Message[Report]("Report"),
		encoder.Message[ConfigurationRequest](ConfigurationRequestKind),
		encoder.Message[ConfigurationAnswer]("ConfigurationAnswer"),
	}
}
