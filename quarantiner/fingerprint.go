package quarantiner

import (
	"bytes"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies requests that are alike, such as those of one organisation
// with the same method, path and body. 0 stands for a request that is not tracked.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of requests with these labels, in this order,
// and this body or digest of a body.
func FingerprintOf(body []byte, labels ...string) Fingerprint {
	return FingerprintOfAll(bytes.NewReader(body), labels...)
}

// FingerprintOfAll returns the same fingerprint of a body that is written as a whole.
func FingerprintOfAll(body io.WriterTo, labels ...string) Fingerprint {
	h := xxhash.New()
	for _, label := range labels {
		// Writing to a hash never fails.
		_, _ = h.WriteString(label)
		_, _ = h.Write([]byte{0})
	}
	_, _ = body.WriteTo(h)
	return Fingerprint(h.Sum64())
}
