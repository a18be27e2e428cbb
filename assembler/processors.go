package assembler

import (
	"runtime"

	"celeryvalve/parser"
)

// agentProcessors is how many processors a process uses that is an agent alone.
// It wakes for each part of each answer; with more, most of its time goes into
// threads that look for work and find none.
const agentProcessors = 2

func limitProcessors(settings parser.Settings) {
	if settings.Has(parser.Agent) && !settings.Has(parser.Entry) && !settings.Has(parser.Control) {
		runtime.GOMAXPROCS(min(agentProcessors, runtime.NumCPU()))
	}
}
