package narrator_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/narrator"
)

const deploymentLog = `
{"ts":"2026-03-08T10:00:00Z","logger":"","msg":"Started.","instance":"front-1"}
{"ts":"2026-03-08T10:00:00Z","logger":"","msg":"Started.","instance":"front-2"}
{"ts":"2026-03-08T10:00:01Z","logger":"coordinator","msg":"Role changed.","instance":"front-1","Role":"Leader","Term":3}
{"ts":"2026-03-08T10:00:01Z","logger":"coordinator","msg":"Role changed.","instance":"front-2","Role":"Follower","Term":3}
{"ts":"2026-03-08T10:00:02Z","logger":"replica","msg":"Declaration is in force.","instance":"front-1","version":7}
{"ts":"2026-03-08T10:00:02Z","logger":"agent","msg":"Engine serves.","instance":"side-1","upstream":"u0","release":2}
{"ts":"2026-03-08T10:00:03Z","logger":"agent","msg":"Engine serves.","instance":"side-1","upstream":"u1","release":2}
{"ts":"2026-03-08T10:00:03Z","logger":"agent","msg":"Engine serves.","instance":"side-9","upstream":"u9","release":2}
{"ts":"2026-03-08T10:00:04Z","logger":"office","msg":"Upstream left.","instance":"front-1","upstream":"u9"}
{"ts":"2026-03-08T10:00:03Z","logger":"agent","msg":"Engine serves.","instance":"side-2","upstream":"u2","release":0}
{"ts":"2026-03-08T10:00:04Z","logger":"replica","msg":"Changing the set of replicas.","instance":"front-1","kind":"Admit","name":"front-3","reason":"its disk was lost"}
{"ts":"2026-03-08T10:00:05Z","logger":"replica","msg":"Change of the set of replicas ended.","instance":"front-1","kind":"Admit","name":"front-3"}
{"ts":"2026-03-08T10:00:04Z","logger":"entry","msg":"Evacuated zones changed.","instance":"front-2","zones":["z1","z2"]}
{"ts":"2026-03-08T10:00:04Z","logger":"entry","msg":"Evacuated zones changed.","instance":"front-1","zones":["z2"]}
{"ts":"2026-03-08T10:00:05Z","logger":"entry","msg":"Evacuated zones changed.","instance":"front-2","zones":["z2"]}
{"ts":"2026-03-08T10:00:05Z","logger":"relayer","msg":"Set an upstream aside.","instance":"front-1","upstream":"u1","until":"2026-03-08T10:00:07Z","cause":"Silent","failures":3}
{"ts":"2026-03-08T10:00:03Z","logger":"spreader","msg":"Behind the declared state.","instance":"front-2","held":3,"announced":5,"since":"2026-03-08T10:00:02Z"}
{"ts":"2026-03-08T10:00:03Z","logger":"spreader","msg":"Behind the declared state.","instance":"side-2","held":3,"announced":5,"since":"2026-03-08T10:00:02Z"}
{"ts":"2026-03-08T10:00:04Z","logger":"spreader","msg":"Caught up with the declared state.","instance":"side-2","held":5}
{"ts":"2026-03-08T10:00:05Z","logger":"relayer","msg":"Set an upstream aside.","instance":"front-2","upstream":"u2","until":"2026-03-08T10:00:06Z","cause":"Lost","failures":4}
`

const laterLog = `
{"ts":"2026-03-08T10:00:06Z","logger":"relayer","msg":"Upstream serves again.","instance":"front-2","upstream":"u2"}
`

func TestOverviewOfADeployment(t *testing.T) {
	o := narrator.NewSummariser()
	require.NoError(t, o.Read("later", strings.NewReader(laterLog)), "the order of files doesn't matter")
	require.NoError(t, o.Read("first", strings.NewReader(deploymentLog)))
	require.Equal(t, []string{
		"At 10:00:06.000",
		"Leader: front-1 since 10:00:01.000, term 3",
		"Declaration 7: 1, front-1",
		"Declaration none: 1, front-2",
		"Release 2: 1, u1",
		"Release none: 1, u2",
		"Repair: Admit front-3 by front-1 at 10:00:04.000, ended: its disk was lost",
		"Evacuated z2: 2, front-1 front-2",
		"Behind: front-2 holds revision 3 of 5 since 10:00:02.000",
		"Aside: u1 at front-1 until 10:00:07.000, Silent, 3 failures in a row",
	}, strings.Split(strings.TrimSpace(o.Overview().Text()), "\n"))
}
