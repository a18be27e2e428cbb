// Package prover holds the failure tests that run the whole system as separate
// processes on loopback: kills, freezes, lost disks and stopped origins, one
// test for each. It has no code of its own outside of tests.
//
// A test waits for what must come as long as go test lets it, so that its
// verdict does not depend on the speed of the machine.
//
// # Usage
//
//	go test ./prover -run TestKilledLeader -v
package prover
