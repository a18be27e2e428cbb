package controller

import (
	"time"

	"celeryvalve/quarantiner"
)

const (
	// CrashesUntilRefused is the number of crashes after which requests with the
	// fingerprint are refused on all upstreams.
	CrashesUntilRefused = 2
	// QuarantineRetention is how long a suspect is stored after its last crash.
	QuarantineRetention = 24 * time.Hour
	// MaximumSuspects is the maximum number of suspects. A new one beyond it
	// replaces the suspect with the fewest crashes and, among these, the oldest
	// last crash.
	MaximumSuspects = 4096
)

// Suspects is the list of all suspects.
type Suspects struct {
	Index Index // log index of the last command that changed the list
	List  []quarantiner.Suspect
}

func newQuarantine() *quarantiner.Quarantine {
	return quarantiner.New(quarantiner.Config{
		CrashesUntilRefused: CrashesUntilRefused,
		Retention:           QuarantineRetention,
		MaxSuspects:         MaximumSuspects,
	})
}
