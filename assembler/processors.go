package assembler

import (
	"runtime"

	"celeryvalve/parser"
)

// agentProcessors is the GOMAXPROCS of a process that only has the role of an agent.
// Such a process wakes for each part of each answer. With more processors, it spends
// most of its CPU time in scheduler threads that look for work and find none.
const agentProcessors = 2

func limitProcessors(settings parser.Settings) {
	if settings.HasRole(parser.Agent) && !settings.HasRole(parser.Entry) && !settings.HasRole(parser.Control) {
		runtime.GOMAXPROCS(min(agentProcessors, runtime.NumCPU()))
	}
}
