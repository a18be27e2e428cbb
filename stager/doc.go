// Package stager brings the wanted release of a model into one engine: it puts
// the verified chunks where the engine loads them from, reads them back, and
// orders the load.
//
// Reducer decides. Chunks that were staged may turn bad, so they are read back
// and checked before each order, and the order follows while the check is fresh.
// An order names the count of orders that the engine has accepted, so that one
// whose answer was lost is not given twice. An engine that must finish what runs
// before it can load takes nothing new meanwhile; engines of one service do so in
// turns, unless the time for the release runs out.
//
// # Usage
//
//	r := stager.New(stager.Config{Within: 8 * time.Second})
//	for _, effect := range r.Reduce(now, stager.Observed{Report: report}) {
//		switch e := effect.(type) {
//		case stager.Stage: // put and read back, then feed Staged
//		case stager.Order: // give it, then feed Ordered
//		}
//	}
package stager
