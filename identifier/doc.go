// Package identifier defines the named types of identities and units that all other
// packages share.
//
// The compiler rejects a value of one type where another is expected: an Organisation
// can't be passed as a Service, although both are strings. The zero value of each
// type means "not known".
//
// # Usage
//
//	var svc identifier.Service = "drafting"
//	digest := identifier.DigestOf(chunk)
//	fmt.Println(svc, digest)
package identifier
