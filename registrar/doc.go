// Package registrar keeps the table of upstreams that one process knows, from
// what the upstreams say of themselves.
//
// No list of upstreams exists anywhere else. An upstream reports to any process
// that takes reports; each process passes on what changed, and merges what it is
// told. Merging is commutative and idempotent: of two records of one upstream the
// one of the later incarnation wins, then the one of the higher sequence. So
// tables that exchange their records become equal, in whatever order those
// arrive.
//
// Leaving is final for an incarnation: a report that was long under way can't
// bring an upstream back. An upstream that has taken over an address displaces
// the one that had it before.
//
// # Usage
//
//	t := registrar.New(registrar.Config{StaleAfter: 6 * time.Second, ForgetAfter: time.Minute})
//	changed := t.Merge(now, record)
//	for _, r := range t.Since(cursor) { ... }
package registrar
