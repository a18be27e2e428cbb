package quarantiner

import (
	"time"

	"celeryvalve/identifier"
)

// ReportCrash reports requests that were in flight when an upstream crashed. Each
// crash is counted once for each fingerprint, even if it is reported repeatedly or by
// several processes.
type ReportCrash struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	// Crash is the number of the crash within the incarnation or, with a Reporter, a
	// number of the report that the reporter uses once.
	Crash    uint64
	InFlight []InFlight
	// Reporter is the process that reports, or empty if only one process reports the
	// crashes of the upstream.
	Reporter string `cbor:",omitempty"`
	// Ago is how long before the report the upstream crashed.
	Ago time.Duration `cbor:",omitempty"`
}

// InFlight is a request that was in flight when its upstream crashed.
type InFlight struct {
	Fingerprint  Fingerprint
	Organisation identifier.Organisation
	Service      identifier.Service
	// Age is how long before the crash the request was first sent to an upstream, or 0 if
	// that is not known.
	Age time.Duration `cbor:",omitempty" json:",omitempty"`
	// Crashes is how many upstreams have crashed under the attempts of this one request,
	// with this crash. 0 counts as 1.
	Crashes int `cbor:",omitempty" json:",omitempty"`
	// Part says that the fingerprint is that of a part of the request's prompt, which other
	// requests may share.
	Part bool `cbor:",omitempty" json:",omitempty"`
	// Beside are the other such parts of the same prompt.
	Beside []Fingerprint `cbor:",omitempty" json:",omitempty"`
	// CompletedBefore says that a request with the part has run to its end before. It may have
	// become what crashes upstreams since.
	CompletedBefore bool `cbor:",omitempty" json:",omitempty"`
}

// companionsOf returns the parts that were beside the part in any prompt in flight.
func (m *ReportCrash) companionsOf(part Fingerprint) []Fingerprint {
	var list []Fingerprint
	for _, request := range m.InFlight {
		if request.Fingerprint == part {
			list = append(list, request.Beside...)
		}
	}
	return list
}

// ClearSuspects removes fingerprints from the list of suspects, either because an
// operator decided so or because such a request ran on an upstream without a crash.
type ClearSuspects struct {
	Fingerprints []Fingerprint
	Operator     identifier.Operator
	// CompletedBefore are suspect parts with which requests ran to their end before they became
	// suspects. They stay suspects, see InFlight.CompletedBefore.
	CompletedBefore []Fingerprint `cbor:",omitempty"`
}

// Answer is the answer to ReportCrash and ClearSuspects.
type Answer struct {
	Suspects int // number of all suspects
	Refused  int // number of the suspects that are refused
	// Crashes is the most crashes that are counted for a fingerprint of the report.
	Crashes int `cbor:",omitempty"`
}
