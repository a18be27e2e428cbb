package loader

import (
	"time"

	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// Role is the function of an engine within its service.
type Role string

// PinnedWeights pins the weights of a model or adapter.
type PinnedWeights struct {
	Version  identifier.WeightVersion
	Manifest identifier.Digest
}

// Desired is what the upstream should serve: nothing if Model is empty.
type Desired struct {
	Model    identifier.Model
	Weights  PinnedWeights
	Adapters map[identifier.Adapter]PinnedWeights
	Role     Role
	// Paused suspends all orders until it is unset.
	Paused bool
}

// Load holds the numbers of running and waiting requests that an engine reports.
type Load struct {
	Running int
	Waiting int
	// Age is the age of the figures.
	Age time.Duration
}

// State is the state that an engine reports.
type State struct {
	Model        identifier.Model
	Version      identifier.WeightVersion
	Adapters     map[identifier.Adapter]identifier.WeightVersion
	Role         Role
	Ready        bool
	Load         Load
	FencingToken identifier.FencingToken
}

// OrderID numbers the orders of one loader, from 1.
type OrderID uint64

// Event is an input of the Loader.
type Event interface{ isEvent() }

// DesiredChanged sets the desired state.
type DesiredChanged struct{ Desired Desired }

// TokenGranted grants or renews the right to send orders.
type TokenGranted struct {
	Token identifier.FencingToken
	// Expires is when the right ends.
	Expires time.Time
	// PreviousExpires is when the lease of the previous token has certainly expired.
	PreviousExpires time.Time
}

// TokenLost withdraws the right to send orders.
type TokenLost struct{}

// WeightsVerified adds weights that may be loaded.
type WeightsVerified struct{ Weights verifier.Weights }

// WeightsDropped removes weights that are no longer stored.
type WeightsDropped struct{ Manifest identifier.Digest }

// StateObserved holds a state and when it was requested.
type StateObserved struct {
	State       State
	RequestedAt time.Time
}

// StateUnknown reports that the engine's state could not be read.
type StateUnknown struct{}

// OrderAccepted reports that an order was executed.
type OrderAccepted struct{ ID OrderID }

// OrderFenced reports that the engine refused an order because it has seen a newer
// fencing token.
type OrderFenced struct {
	ID      OrderID
	Current identifier.FencingToken
}

// OrderFailed reports an order that was refused, or whose outcome is unknown.
type OrderFailed struct {
	ID      OrderID
	Problem string
}

// Ticked triggers polls and retries that are due.
type Ticked struct{}

func (DesiredChanged) isEvent()  {}
func (TokenGranted) isEvent()    {}
func (TokenLost) isEvent()       {}
func (WeightsVerified) isEvent() {}
func (WeightsDropped) isEvent()  {}
func (StateObserved) isEvent()   {}
func (StateUnknown) isEvent()    {}
func (OrderAccepted) isEvent()   {}
func (OrderFenced) isEvent()     {}
func (OrderFailed) isEvent()     {}
func (Ticked) isEvent()          {}
