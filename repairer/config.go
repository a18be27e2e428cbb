package repairer

import "time"

const (
	// defaultVoterSilence is how long a voter may be silent before it may be replaced,
	// where the platform sets no time to catch up. It is longer than freezes, restarts
	// and network partitions that end without a repair.
	defaultVoterSilence = 10 * time.Second
	// voterSilenceFraction is the part of the time to catch up for which a voter may be
	// silent before a standby takes its place. The rest is for the steps of the change.
	voterSilenceFraction = 0.5
	// minVoterSilence is longer than a restart and two elections take.
	minVoterSilence = 2 * time.Second
	// exclusionFraction is the part of a voter's silence for which an excluded replica waits: about an
	// election, so that the rest of the time to catch up is left to learn the log anew.
	exclusionFraction = 0.25
	// memberAnswerTimeout is three heartbeats of the consensus protocol.
	memberAnswerTimeout = 300 * time.Millisecond
	// joinerLifetime is how long an announcement of a new replica is valid.
	// Announcements are repeated with every heartbeat of the consensus protocol.
	joinerLifetime = time.Second
)

// Config configures a Repairer.
type Config struct {
	// ToleratedLosses is the number of replicas that may be lost at the same time.
	ToleratedLosses int
	// SilentAfter is how long a voter must be silent before a standby takes its place.
	// It must be longer than a restart takes.
	SilentAfter time.Duration
	// ExclusionTimeout is how long a replica that is not in the membership waits for a
	// leader that includes it, before it gives up its disk.
	ExclusionTimeout time.Duration
	// JoinerLifetime is how long an announcement of a new replica remains valid. It
	// is also how long a member must be silent before a new replica of the same
	// name may replace it.
	JoinerLifetime time.Duration
	// AnswerTimeout is how long a new leader waits for the first answers of the members.
	AnswerTimeout time.Duration
}

// NewConfig returns the configuration by which a replacement votes, and the replica that
// it replaces does not, before the platform may take another one: catchUp after the
// replacement started, or after a replica came back. Zero stands for no such bound.
// docs/design/0023-replacements.md divides the time.
func NewConfig(toleratedLosses int, catchUp time.Duration) Config {
	silence := defaultVoterSilence
	if catchUp > 0 {
		silence = max(minVoterSilence, time.Duration(voterSilenceFraction*float64(catchUp)))
	}
	return Config{
		ToleratedLosses:  toleratedLosses,
		SilentAfter:      silence,
		ExclusionTimeout: time.Duration(exclusionFraction * float64(silence)),
		JoinerLifetime:   joinerLifetime,
		AnswerTimeout:    memberAnswerTimeout,
	}
}
