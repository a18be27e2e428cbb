package versioner

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Release is the release version of all programs of this module.
const Release = "0.1.0"

// Revision returns the version control revision that the program was built from, or
// "unknown" if the build did not record it.
func Revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return "unknown"
}

// Text returns one line with the name of the program, its release, its revision and the
// version of Go that built it.
func Text(program string) string {
	return fmt.Sprintf("%s %s (revision %s, %s)", program, Release, Revision(), runtime.Version())
}
