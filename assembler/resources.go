package assembler

import (
	"runtime"
	"runtime/debug"

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

const (
	// memoryLimitFraction is the fraction of the memory that is the soft limit of the Go runtime.
	memoryLimitFraction = 0.6
	// requestShare is the part of the memory that requests may take, and the one that answers may.
	requestShare = 8
)

func limitMemory(settings parser.Settings) {
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.Memory)))
	}
}
