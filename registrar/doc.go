// Package registrar keeps the table of the upstreams that one process knows, built
// from the reports that the upstreams send about themselves.
//
// There is no other list of upstreams. An upstream reports to any process that
// accepts reports. Each process forwards the records that changed, and merges the
// records that it receives. Merging is commutative and idempotent: of two records
// of the same upstream the one of the later incarnation wins, then the one with the
// higher sequence number. Tables that exchange their records therefore become
// equal, whatever the order in which the records arrive, as long as no address is
// taken over by another upstream.
//
// A record whose numbers are wrong would count as the newest for good. Report refuses numbers that
// can't be true. A record that nobody reports again gives way to an upstream that goes on reporting:
// its next record has a higher epoch, which comes before incarnation and sequence number.
//
// Leaving is final for an incarnation: a delayed report can't bring an upstream
// back. An upstream that takes over the address of another one displaces it, unless it has
// started earlier. A later report of the displaced one reverses that, at all processes: where
// starts are not reported, a delayed report can displace the living upstream until its next one.
//
// # Usage
//
//	t := registrar.New(registrar.Config{StaleAfter: 6 * time.Second, ForgetAfter: time.Minute})
//	changed, err := t.Report(now, record) // from the upstream itself
//	changed = t.Merge(now, record)        // from another process
//	for _, r := range t.Since(cursor) { ... }
package registrar
