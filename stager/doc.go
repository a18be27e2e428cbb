// Package stager loads the wanted release of a model into one engine: it copies the
// verified chunks to where the engine loads them from, reads them back and orders
// the engine to load them.
//
// Reducer decides. Staged chunks may become corrupt, so they are read back and
// verified before each order, and the order must follow before that check expires.
// An order states how many orders the engine has accepted so far, so that an order
// whose answer was lost is not given twice. An engine that has to finish its running
// requests before it can load takes no new ones in the meantime. The engines of one
// service therefore load in waves, one wave after another unless the time for the
// release runs out.
//
// # Usage
//
//	r := stager.New(stager.Config{RolloutTime: 8 * time.Second})
//	for _, effect := range r.Reduce(now, stager.Observed{Report: report}) {
//		switch e := effect.(type) {
//		case stager.Stage: // copy the chunks and read them back, then reduce Staged
//		case stager.Order: // order the load, then reduce Ordered
//		}
//	}
package stager
