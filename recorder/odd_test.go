package recorder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/recorder"
)

// Guards against a log with a member whose name is not UTF-8, which was written and could not be
// read again.
func TestMemberOfAnOddNameIsRead(t *testing.T) {
	fs := newMemFS()
	r, err := open(fs)
	require.NoError(t, err)
	change := recorder.Entry{
		Index: 1, Term: 1, Kind: recorder.MembershipChange,
		Membership: &recorder.Membership{Members: []recorder.Member{{Replica: "c-\xff", Name: "\xc3\x28"}}},
	}
	change.Chain = change.ChainAfter(0)
	require.NoError(t, r.Append(recorder.Batch{HardState: &recorder.HardState{Cluster: "x\xff", Term: 1}, Entries: []recorder.Entry{change}}))
	require.NoError(t, r.Close())
	again, err := open(fs)
	require.NoError(t, err)
	require.Equal(t, change.Membership, again.State().Entries[0].Membership)
	require.NoError(t, again.Close())
}
