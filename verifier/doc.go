// Package verifier builds and parses the manifests of model weights, and checks
// chunks and files against their digests.
//
// A manifest lists the files of one version of a model or adapter, cut into
// chunks of a fixed size. The configuration pins the digest of the manifest, which
// is computed over the exact bytes that the origin serves; chunks and files are
// checked against the manifest.
//
// The result of a successful check is a value that no other package can create: a
// Chunk with a digest exists only for bytes that match it, and a non-zero Weights
// only after every byte of every file was read back and matched. A function that
// takes a non-zero Weights therefore never gets partial weights or a mix of two
// versions.
//
// # Usage
//
//	m, err := verifier.ParsePinned(data, pinned)
//	chunk, err := m.VerifyChunk(index, bytes)
//	weights, err := m.VerifyFiles(open) // reads every file back
//	loader.Reduce(now, loader.WeightsVerified{Weights: weights})
//
// The origin serves the manifest, as JSON, at <Source>/Manifest.json and each file
// at <Source>/<Path>. Build creates the manifest of a folder, and FromDigests that
// of weights of which only the chunk digests are known.
package verifier
