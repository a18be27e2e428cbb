// Package declarer defines the configuration that operators submit as one whole
// document, and the replicated state machine that stores it.
//
// A Declaration contains the routes of callers' requests, the services behind them,
// the organisations with their keys and the limits on callers' requests. Operators
// number its Versions themselves: versions increase, possibly with gaps, and the
// highest one is in force. A declaration whose version is not higher is
// acknowledged but changes nothing.
//
// The state also stores the document as the operator wrote it, so that it can be
// read back byte for byte, and the releases of weights: which release of each model
// is wanted, and the digests of its chunks once they are pinned.
//
// It stores the quarantine of requests that crash upstreams, too (see package
// quarantiner), which does not belong to the declaration and has its own revision.
//
// It stores the orders to evacuate availability zones, which may precede any declaration.
//
// Every accepted change of the declaration, the releases or the evacuations increases the
// Revision by one. A Delta is the difference
// between an older declaration and a newer one. A View is one process's copy of
// the state; its revision never decreases.
//
// # Usage
//
//	state := declarer.New(asserter)
//	data, err := declarer.EncodeCommand(&declarer.Replace{Declaration: d, Document: body})
//	answer := state.Apply(index, at, data) // *declarer.Answer or *declarer.Rejected
//	name, route, ok := declarer.NewIndex(d).FindRoute("host.example", "/drafts/1")
package declarer
