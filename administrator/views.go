package administrator

import (
	"net/http"
	"time"

	"celeryvalve/configurer"
	"celeryvalve/controller"
	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/publisher"
	"celeryvalve/reporter"
	"celeryvalve/subscriber"
)

// Problem is an error on the wire.
type Problem struct {
	Kind    explainer.Kind
	Problem string
	Remedy  string
}

// statuses maps the kinds of errors to those of HTTP.
var statuses = map[explainer.Kind]int{
	explainer.InvalidInput: http.StatusUnprocessableEntity,
	explainer.Conflict:     http.StatusConflict,
	explainer.Fenced:       http.StatusConflict,
	explainer.Denied:       http.StatusForbidden,
	explainer.NotFound:     http.StatusNotFound,
	explainer.Unavailable:  http.StatusServiceUnavailable,
}

// PatchSubmission is the body of a submitted patch.
type PatchSubmission struct {
	ID     identifier.PatchID
	Base   identifier.ConfigurationVersion
	File   string
	Source string
}

// VersionView says which version is in force and where.
type VersionView struct {
	Version identifier.ConfigurationVersion
	Leader  string
	// Processes counts the processes by the version that is in force there.
	Processes map[identifier.ConfigurationVersion]int
	Lagging   []Lagging
	// Unheard names the replicas that could not be asked for their share.
	Unheard []string
}

// Lagging is a process where an older version is in force.
type Lagging struct {
	Process  string
	Version  identifier.ConfigurationVersion
	Reported time.Time
}

// ConfigurationView is one version as a patch file would declare it.
type ConfigurationView struct {
	Version identifier.ConfigurationVersion
	Source  string
}

// HistoryView lists accepted patches.
type HistoryView struct {
	Patches []controller.Summary
}

// DiffView lists the values that differ between two versions.
type DiffView struct {
	From, To identifier.ConfigurationVersion
	Changes  []configurer.Change
}

// ServiceView is one service and how far it is.
type ServiceView struct {
	Service   identifier.Service
	Model     identifier.Model
	Version   identifier.WeightVersion
	Upstreams int
	Ready     int
}

// ServicesView lists the services.
type ServicesView struct {
	Services []ServiceView
}

// UpstreamsView lists the members.
type UpstreamsView struct {
	Upstreams []controller.Member
}

// TransferView is the progress of one manifest on one instance.
type TransferView struct {
	Process  string
	Upstream identifier.Upstream
	subscriber.Transfer
}

// TransfersView lists transfers and what was read from the origin.
type TransfersView struct {
	Transfers []TransferView
	Origin    []controller.OriginUse
	Unheard   []string
}

// ReplicaView is one control replica.
type ReplicaView struct {
	Name    string
	Address string
	Replica identifier.Replica
	// Voter is false while the replica catches up.
	Voter bool
	// Match is the last entry that it is known to have synced.
	Match uint64
}

// ReplicasView lists the control replicas.
type ReplicasView struct {
	Replicas []ReplicaView
	// Waiting are new replicas that an operator has not admitted.
	Waiting []ReplicaView
	Leader  string
}

// QuarantineView lists the requests that crashed upstreams.
type QuarantineView struct {
	Suspects controller.Suspects
}

// ClearSubmission names fingerprints to take off the list.
type ClearSubmission struct {
	Fingerprints []controller.Fingerprint
}

// ReportView is what a report on service levels is computed from.
type ReportView struct {
	Objectives reporter.Objectives
	Snapshots  []reporter.Snapshot
	// Unheard names the entries whose history could not be read.
	Unheard []string
}

// StatusKind is the kind of the call between replicas.
const StatusKind encoder.Kind = "StatusRequest"

// StatusRequest asks a replica for its subscribers.
type StatusRequest struct{}

// StatusAnswer lists the subscribers of one replica.
type StatusAnswer struct {
	Subscribers []publisher.Subscriber
}

// Messages returns the entries of the calls between replicas.
func Messages() []encoder.Entry {
	return []encoder.Entry{
		encoder.Message[StatusRequest](StatusKind),
		encoder.Message[StatusAnswer]("StatusAnswer"),
	}
}
