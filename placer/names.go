package placer

import (
	"time"

	"celeryvalve/declarer"
)

// localNames returns the names with times on this process's clock. A name that is
// already known keeps its time.
func localNames(now time.Time, names, known []declarer.WantedRelease) []declarer.WantedRelease {
	list := make([]declarer.WantedRelease, 0, len(names))
	for _, n := range names {
		n.At = releaseStart(now, n.At)
		for _, k := range known {
			if k.Number == n.Number {
				n.At = k.At
			}
		}
		list = append(list, n)
	}
	return list
}

// releaseStart returns when the time for a release began: when the release was named,
// even if this process started later, but not after the process learned of it. The result
// is on the steady clock of learnedAt, so that a time of day that jumps later neither
// lengthens nor shortens the time for the release.
func releaseStart(learnedAt, namedAt time.Time) time.Time {
	return learnedAt.Add(-max(0, learnedAt.Sub(namedAt)))
}
