package reporter

import (
	"fmt"
	"strings"
	"time"
)

// Duration is a time.Duration that is encoded as text in JSON, for example "6h0m0s".
type Duration time.Duration

// String formats the duration without trailing zero units, for example "6h". Whole days
// are used from two days on, for example "30d".
func (d Duration) String() string {
	if t := time.Duration(d); t >= 48*time.Hour && t%(24*time.Hour) == 0 {
		return fmt.Sprintf("%dd", t/(24*time.Hour))
	}
	text := time.Duration(d).String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// MarshalText encodes the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText decodes a duration in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}
