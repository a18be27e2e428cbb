package reporter

import (
	"encoding/json"
	"errors"
	"io"
	"time"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Indicator is a property of requests or tokens by which events are counted as good or
// bad.
type Indicator string

// The indicators that the system counts.
const (
	// ReadyInTime: the answer was complete before the request's deadline.
	ReadyInTime Indicator = "ReadyInTime"
	// FirstToken: the first token arrived within the limit.
	FirstToken Indicator = "FirstToken"
	// BetweenTokens: a token arrived within the limit after the previous one.
	BetweenTokens Indicator = "BetweenTokens"
	// Exactness: the request was neither lost (Unknown or unanswered) nor run twice.
	Exactness Indicator = "Exactness"
)

// Sample is a pair of cumulative counters of one process. A counter that is lower than
// in an earlier snapshot was reset by a restart of the process.
type Sample struct {
	Service      identifier.Service
	Organisation identifier.Organisation
	Indicator    Indicator
	Good         uint64
	Total        uint64
}

// Rollout is the state of the transfer of one version of weights to the replicas of a
// service.
type Rollout struct {
	Service identifier.Service
	Model   identifier.Model
	Adapter identifier.Adapter `json:",omitempty"`
	Version identifier.WeightVersion
	// Declared is when the rollout began.
	Declared time.Time
	// Finished is when the last wanted replica was ready; zero before that.
	Finished time.Time `json:",omitzero"`
	// Wanted is the number of replicas that should get the weights.
	Wanted int
	// Ready is the number of them that are ready.
	Ready int
	// Size is the size of one copy, in bytes.
	Size identifier.ByteCount
	// Received is the number of verified bytes on all wanted replicas together.
	Received identifier.ByteCount
	// FromOrigin is the number of bytes that were read from the origin.
	FromOrigin identifier.ByteCount
}

// Snapshot holds the counters of one process at one time. A report is computed from the
// snapshots of several processes together.
type Snapshot struct {
	// Source is the name of the process.
	Source   string
	Time     time.Time
	Samples  []Sample  `json:",omitempty"`
	Rollouts []Rollout `json:",omitempty"`
}

// ParseSnapshots parses a sequence of snapshots, each of which is one JSON value. Unknown
// fields are an error.
func ParseSnapshots(r io.Reader) ([]Snapshot, error) {
	var list []Snapshot
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	for {
		var s Snapshot
		err := dec.Decode(&s)
		if errors.Is(err, io.EOF) {
			return list, nil
		}
		if err != nil {
			return nil, explainer.Wrap(err, explainer.InvalidInput, "snapshots are malformed",
				"collect them again with this release of celeryvalve")
		}
		list = append(list, s)
	}
}
