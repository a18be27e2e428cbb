// Package identifier holds the named types for identities and units that every
// other package shares.
//
// Two values of different named types never mix by accident: an Organisation
// is not a Service even though both are text. The zero value of each type
// means "not known".
//
// # Usage
//
//	var svc identifier.Service = "drafting"
//	digest := identifier.DigestOf(chunk)
//	fmt.Println(svc, digest)
package identifier
