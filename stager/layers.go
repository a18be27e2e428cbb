package stager

// Layers is the range of a model's layers that an engine holds.
type Layers struct {
	From int
	To   int // exclusive
}

// AreAll reports whether an engine that reports the range holds all layers of a model. Without
// a range, or for a model whose number of layers is not known, it holds the model as a whole.
func (l *Layers) AreAll(total int) bool {
	return l == nil || total == 0 || (l.From <= 0 && l.To >= total)
}

// SoundLayer returns a layer that needs none of the corrupt chunks, or -1 if there is none or
// none are listed. Layer i of n needs the chunks from i to i+1 n-th parts of all.
func SoundLayer(layers, chunks int, corrupt []int) int {
	if len(corrupt) == 0 || chunks == 0 {
		return -1
	}
	for layer := range layers {
		first, end := layer*chunks/layers, ((layer+1)*chunks+layers-1)/layers
		sound := true
		for _, i := range corrupt {
			sound = sound && (i < first || i >= end)
		}
		if sound {
			return layer
		}
	}
	return -1
}
