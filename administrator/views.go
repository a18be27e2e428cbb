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
	"celeryvalve/quarantiner"
	"celeryvalve/reporter"
	"celeryvalve/subscriber"
)

// Problem is the JSON body of every answer that is an error.
type Problem struct {
	Kind    explainer.Kind
	Problem string
	Remedy  string
}

// httpStatuses maps the kinds of errors to HTTP statuses. Other kinds are answered
// with 500.
var httpStatuses = map[explainer.Kind]int{
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

// VersionView reports the current version and which version each process has.
type VersionView struct {
	Version identifier.ConfigurationVersion
	Leader  string
	// Processes counts the subscribed processes by the version that they have.
	Processes map[identifier.ConfigurationVersion]int
	Lagging   []LaggingProcess
	// Unheard names the control replicas that did not answer. Their subscribers are
	// missing from Processes and Lagging.
	Unheard []string
}

// LaggingProcess is a process that has an older version than the current one.
type LaggingProcess struct {
	Process  string
	Version  identifier.ConfigurationVersion
	Reported time.Time
}

// ConfigurationView is one version of the configuration. Source declares it in the
// form of a patch file.
type ConfigurationView struct {
	Version identifier.ConfigurationVersion
	Source  string
}

// HistoryView lists accepted patches, newest first.
type HistoryView struct {
	Patches []controller.Summary
}

// DiffView lists the values that differ between two versions.
type DiffView struct {
	From, To identifier.ConfigurationVersion
	Changes  []configurer.Change
}

// ServiceView is one service with the model and version that it declares. Upstreams
// counts its members and Ready those that serve the declared version.
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

// UpstreamsView lists the upstreams that are members.
type UpstreamsView struct {
	Upstreams []controller.Member
}

// TransferView is the progress of the transfer of one manifest to one upstream.
type TransferView struct {
	Process  string
	Upstream identifier.Upstream
	subscriber.Transfer
}

// TransfersView lists transfers and the use of the origin's read budgets. Unheard
// names the control replicas that did not answer.
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
	// Match is the index of the last log entry that the replica is known to have
	// synced to disk.
	Match uint64
}

// ReplicasView lists the control replicas.
type ReplicasView struct {
	Replicas []ReplicaView
	// Waiting lists new replicas that no operator has admitted yet.
	Waiting []ReplicaView
	Leader  string
}

// QuarantineView lists the requests suspected of having crashed upstreams.
type QuarantineView struct {
	Suspects controller.Suspects
}

// ClearSubmission names the fingerprints to remove from the quarantine.
type ClearSubmission struct {
	Fingerprints []quarantiner.Fingerprint
}

// ReportView is the data from which a service-level report is computed.
type ReportView struct {
	Objectives reporter.Objectives
	Snapshots  []reporter.Snapshot
	// Unheard names the control replicas and entries that did not answer.
	Unheard []string
}

// StatusKind is the message kind of StatusRequest.
const StatusKind encoder.Kind = "StatusRequest"

// StatusRequest asks a control replica for its subscribers.
type StatusRequest struct{}

// StatusAnswer lists the subscribers of one control replica.
type StatusAnswer struct {
	Subscribers []publisher.Subscriber
}

// Messages returns the encoder's entries for the messages between control replicas.
func Messages() []encoder.MessageType {
	return []encoder.MessageType{
		encoder.Message[StatusRequest](StatusKind),
		encoder.Message[StatusAnswer]("StatusAnswer"),
	}
}
