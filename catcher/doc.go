// Package catcher decides from which peers a process fetches a state that it is behind
// on.
//
// A Catcher is a reducer: Reduce takes the time and an event, and returns the fetches
// to begin. It does no I/O and reads no clock.
//
// Each peer tells the revision that it holds. The peer that has told the highest one
// is asked at once, unless a fetch in progress will bring as much; a second peer with
// the same is asked if that one takes longer than Config.HedgeDelay. Progress means
// that the revision held by this process has risen, not that a peer has answered: one
// whose fetch brought none is not asked again within Config.RetryDelay, whatever it
// tells meanwhile. So the requests to each peer are bounded, and none of them keeps
// another peer from being asked.
//
// A revision that was told may be lost with the only peer that held it. It is given up
// once a peer has confirmed an older one for Config.AbandonDelay while nobody tells a
// newer one.
//
// # Usage
//
//	c := catcher.New(catcher.Config{HedgeDelay: 250 * time.Millisecond, ...})
//	for _, f := range c.Reduce(now, catcher.Told{Peer: peer, Revision: 7}) {
//		// fetch from f.Peer within f.Timeout, then feed Held if that brought a newer
//		// state, and Ended in any case
//	}
package catcher
