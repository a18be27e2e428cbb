// Package declarer holds what operators declare as one whole document, and the
// replicated state machine that keeps it.
//
// A Declaration names the routes of callers' requests, the services behind them,
// the organisations with their keys and the limits on what callers may send. Its
// Version is the operator's own number: versions rise in uneven steps, the
// highest one is in force, and one that is not higher is acknowledged and
// changes nothing. Beside it the state keeps the document as the operator wrote
// it, so that it reads back byte for byte, and the releases of weights: which
// version of a model is wanted, and the digests of its chunks once they are
// pinned.
//
// Every accepted change raises the Revision by one. A Delta leads from an older
// declaration to a newer one; a View is what one process has in force, and never
// goes back.
//
// # Usage
//
//	state := declarer.New(asserter)
//	data, err := declarer.EncodeCommand(&declarer.Replace{Declaration: d, Document: body})
//	answer := state.Apply(index, at, data) // *declarer.Answer or *declarer.Rejected
//	route, ok := declarer.NewIndex(d).Find("host.example", "/drafts/1")
package declarer
