// Package certifier makes the authority, the keys and the certificates with
// which processes know each other, and serves them to TLS.
//
// One folder holds the authority's certificates (authority.pem, several during
// a rotation), its key (authority-key.pem, only where keys are issued) and a
// pair NAME.pem, NAME-key.pem for each process or operator. A certificate names
// its holder in the common name and its roles in the organisational units.
//
// A Source reads a pair again whenever the files change, so that a renewed key
// is taken up at the next handshake without a restart.
//
// # Usage
//
//	authority, err := certifier.CreateAuthority(folder, clock.Now())
//	err = authority.Issue("entry-1", []certifier.Role{certifier.Entry}, clock.Now())
//	source := certifier.NewSource(certifier.PathsIn(folder, "entry-1"))
//	tlsConfig := source.Server("celeryvalve/1")
package certifier
