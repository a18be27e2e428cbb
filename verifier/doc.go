// Package verifier describes weights by digests and proves that bytes are the
// ones that were declared.
//
// A manifest lists the files of one version of a model or adapter, cut into
// chunks of a fixed size. Its own digest, taken over the very bytes that the
// origin serves, is pinned in the configuration; everything else is checked against the manifest.
//
// Proofs are values that only a check can make: a Chunk exists only for bytes
// that match a digest of the manifest, and Weights exist only once every byte of
// every file was read back and matched. A function that takes Weights can't be
// handed anything partial or mixed.
//
// # Usage
//
//	m, err := verifier.ParsePinned(data, pinned)
//	chunk, err := m.VerifyChunk(index, bytes)
//	weights, err := m.VerifyFiles(open) // reads every file back
//	loader.Reduce(now, loader.WeightsVerified{Weights: weights})
//
// The origin serves the manifest, as JSON, at <Source>/Manifest.json and each file at
// <Source>/<Path>. Build makes a manifest of a folder.
package verifier
