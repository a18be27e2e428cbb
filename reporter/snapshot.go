package reporter

import (
	"encoding/json"
	"errors"
	"io"
	"time"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Indicator names what is counted as good or bad.
type Indicator string

// The indicators that the system counts.
const (
	// ReadyInTime: the whole answer came before the request's deadline.
	ReadyInTime Indicator = "ReadyInTime"
	// FirstToken: the first token came within the limit.
	FirstToken Indicator = "FirstToken"
	// BetweenTokens: a token came within the limit of the one before it.
	BetweenTokens Indicator = "BetweenTokens"
	// Exactness: the request was neither lost (Unknown or unanswered) nor run twice.
	Exactness Indicator = "Exactness"
)

// Sample is one counter pair since the start of counting. A counter that falls
// has started anew.
type Sample struct {
	Service      identifier.Service
	Organisation identifier.Organisation
	Indicator    Indicator
	Good         uint64
	Total        uint64
}

// Rollout is the state of one version of weights on its way to the replicas.
type Rollout struct {
	Service  identifier.Service
	Model    identifier.Model
	Adapter  identifier.Adapter `json:",omitempty"`
	Version  identifier.WeightVersion
	Declared time.Time
	// Finished is when the last wanted replica was ready; zero before that.
	Finished time.Time `json:",omitzero"`
	Wanted   int
	Ready    int
	// Size is the size of one copy.
	Size identifier.ByteCount
	// Received is the verified bytes on all wanted replicas together.
	Received identifier.ByteCount
	// FromOrigin is the bytes that were read from the origin.
	FromOrigin identifier.ByteCount
}

// Snapshot is what one process has counted up to one moment. Those of several
// processes make one report together.
type Snapshot struct {
	// Source is the name of the process.
	Source   string
	Time     time.Time
	Samples  []Sample  `json:",omitempty"`
	Rollouts []Rollout `json:",omitempty"`
}

// ParseSnapshots reads snapshots written as JSON values one after the other.
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
