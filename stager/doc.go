// Package stager loads the wanted release of a model into one engine: it copies the
// verified chunks to where the engine loads them from, reads them back and orders
// the engine to load them.
//
// Reducer decides. Staged chunks may become corrupt at any moment, so they are read back
// before each order, and again once the engine has accepted it. Only the agent writes them:
// if all are whole then and none was written since the order was given, the engine took whole
// chunks, however long that took. Otherwise it gives up the layers and loads again. It serves
// a release only once that is proven; what another agent ordered can't be. An order states how
// many orders the engine has accepted so far, so that an order whose answer was lost is not
// given twice. An engine that has to finish its running
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
//		case stager.Verify: // read the chunks back, then reduce Verified
//		case stager.Discard: // order the engine to give up layers, then reduce Discarded
//		}
//	}
package stager
