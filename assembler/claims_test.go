package assembler

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"celeryvalve/controller"
	"celeryvalve/router"
)

// Guards against an answer of an upstream with a header that is not UTF-8: it was stored, and a
// caller that repeated the request could not get it.
func TestStoredAnswerWithOddHeaderIsReadable(t *testing.T) {
	answer := router.StoredAnswer{Outcome: router.Completed, Status: 200, Header: []router.HeaderField{{Name: "X", Value: "caf\xe9"}}}
	stored, err := cbor.Marshal(answer)
	require.NoError(t, err)
	read, err := claimAnswerOf(&controller.ClaimAnswer{Status: controller.Settled, Outcome: controller.Outcome(answer.Outcome), Answer: stored})
	require.NoError(t, err)
	require.Equal(t, answer, read.Answer)
}
