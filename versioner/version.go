package versioner

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Release is the version of the product.
const Release = "0.1.0"

// Revision returns the revision that the program was built from, or "unknown".
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

// Text returns one line that names the program, its release and its build.
func Text(program string) string {
	return fmt.Sprintf("%s %s (revision %s, %s)", program, Release, Revision(), runtime.Version())
}
