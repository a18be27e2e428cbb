// Package certifier creates the certificate authority, issues the keys and
// certificates by which processes authenticate each other, and supplies them to
// TLS.
//
// One folder holds the authority's certificates (authority.pem, several during
// a rotation), its key (authority-key.pem, only where keys are issued) and a
// pair NAME.pem, NAME-key.pem for each process or operator. A certificate names
// its holder in the common name and its roles in the organisational units.
//
// A Source loads a pair again when the modification time of a file has changed,
// so that a renewed key is used from the next handshake on without a restart.
//
// # Usage
//
//	authority, err := certifier.CreateAuthority(folder, clock.Now())
//	err = authority.Issue("entry-1", []certifier.Role{certifier.Entry}, clock.Now())
//	source := certifier.NewSource(certifier.PathsIn(folder, "entry-1"))
//	tlsConfig := source.Server("celeryvalve/1")
package certifier
