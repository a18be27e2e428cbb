package narrator_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/narrator"
)

const entryLog = `
 12.1 front-1 {"level":"info","ts":"2026-03-08T10:00:02.500Z","logger":"relayer","msg":"Attempt broke.","instance":"front-1","request":"a1","upstream":"u1","cause":"Lost"}
{"level":"info","ts":"2026-03-08T10:00:02.600Z","logger":"relayer","msg":"Served a request.","instance":"front-1","request":"a1","upstream":"u2","status":200}
{"level":"info","ts":"2026-03-08T10:00:02.700Z","logger":"relayer","msg":"Served a request.","instance":"front-1","request":"a2","upstream":"u1","status":200}
not a line of a log {
`

const controlLog = `
{"level":"info","ts":"2026-03-08T10:00:01Z","logger":"office","msg":"Upstream changed.","instance":"front-2","upstream":"u1","state":"Ready"}
{"level":"info","ts":"2026-03-08T09:00:01Z","logger":"office","msg":"Upstream changed.","instance":"front-2","upstream":"u1","state":"Draining"}
{"level":"info","ts":"2026-03-08T10:00:01Z","logger":"office","msg":"Upstream changed.","instance":"front-2","upstream":"u9","state":"Ready"}
{"level":"info","ts":"2026-03-08T10:00:03Z","logger":"control","msg":"Took a configuration.","instance":"front-2","version":7}
`

func story(t *testing.T, s narrator.Subject) []string {
	n := narrator.New(s)
	require.NoError(t, n.Read("entry", strings.NewReader(entryLog)))
	require.NoError(t, n.Read("control", strings.NewReader(controlLog)))
	return strings.Split(strings.TrimSpace(n.Story().Text()), "\n")
}

func TestStoryOfARequest(t *testing.T) {
	require.Equal(t, []string{
		"10:00:01.000 front-2 office: Upstream changed. state=Ready upstream=u1",
		"10:00:02.500 front-1 relayer: Attempt broke. cause=Lost request=a1 upstream=u1",
		"10:00:02.600 front-1 relayer: Served a request. request=a1 status=200 upstream=u2",
	}, story(t, narrator.Subject{Request: "a1"}))
}

func TestStoryOfAVersion(t *testing.T) {
	require.Equal(t, []string{"10:00:03.000 front-2 control: Took a configuration. version=7"}, story(t, narrator.Subject{Version: "7"}))
}

func TestStoryOfAnUpstream(t *testing.T) {
	require.Len(t, story(t, narrator.Subject{Upstream: "u1"}), 4)
}
