package imitator

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// DefaultChunkSize is the chunk size of generated weights, in bytes.
const DefaultChunkSize identifier.ByteCount = 256 << 10

// WeightsConfig says which weights to generate.
type WeightsConfig struct {
	Folder    string
	Model     identifier.Model
	Adapter   identifier.Adapter
	Version   identifier.WeightVersion
	ChunkSize identifier.ByteCount
	// Size is the size of all files together.
	Size  identifier.ByteCount
	Files int
	// Shared is the share of the chunks that depend on the seed alone, so that
	// versions made with one seed have them in common.
	Shared float64
	Seed   uint64
}

// WriteWeights writes pseudo-random files and their manifest to
// Folder/Model/Version, or Folder/Model/Adapter/Version for an adapter. It
// returns the digest of the manifest's bytes.
func WriteWeights(cfg WeightsConfig) (identifier.Digest, error) {
	var none identifier.Digest
	if cfg.Files < 1 || cfg.ChunkSize < 1 || cfg.Size < identifier.ByteCount(cfg.Files) {
		return none, explainer.New(explainer.InvalidInput, "weights are empty",
			"set files and chunk size to at least one, and the size to at least one byte a file")
	}
	folder := filepath.Join(cfg.Folder, string(cfg.Model), string(cfg.Adapter), string(cfg.Version))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return none, err
	}
	for i := range cfg.Files {
		if err := writeWeightFile(cfg, folder, i); err != nil {
			return none, err
		}
	}
	manifest, err := verifier.Build(verifier.Description{
		Model:     cfg.Model,
		Adapter:   cfg.Adapter,
		Version:   cfg.Version,
		ChunkSize: cfg.ChunkSize,
	}, os.DirFS(folder))
	if err != nil {
		return none, err
	}
	return manifest.Digest(), os.WriteFile(filepath.Join(folder, verifier.ManifestPath), manifest.Encoded(), 0o644)
}

// writeWeightFile writes file i; the last file takes what the division leaves.
func writeWeightFile(cfg WeightsConfig, folder string, i int) error {
	size := cfg.Size / identifier.ByteCount(cfg.Files)
	if i == cfg.Files-1 {
		size += cfg.Size % identifier.ByteCount(cfg.Files)
	}
	data := make([]byte, 0, size)
	for chunk := 0; identifier.ByteCount(len(data)) < size; chunk++ {
		n := min(cfg.ChunkSize, size-identifier.ByteCount(len(data)))
		data = append(data, randomChunk(cfg, i, chunk, n)...)
	}
	return os.WriteFile(filepath.Join(folder, fmt.Sprintf("weights-%03d.bin", i)), data, 0o644)
}

func randomChunk(cfg WeightsConfig, file, chunk int, n identifier.ByteCount) []byte {
	var salt identifier.Digest
	place := uint64(file)<<32 | uint64(chunk)
	pick := rand.New(rand.NewPCG(cfg.Seed, place))
	if pick.Float64() >= cfg.Shared {
		salt = identifier.DigestOf([]byte(string(cfg.Model) + "/" + string(cfg.Adapter) + "/" + string(cfg.Version)))
	}
	var seed [32]byte
	copy(seed[:], salt[:16])
	binary.LittleEndian.PutUint64(seed[16:], cfg.Seed)
	binary.LittleEndian.PutUint64(seed[24:], place)
	data := make([]byte, n)
	_, _ = rand.NewChaCha8(seed).Read(data)
	return data
}
