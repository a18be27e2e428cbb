package reporter

import (
	"fmt"
	"strings"
	"time"
)

// Duration is a time.Duration that is written as text ("6h") in JSON.
type Duration time.Duration

// String returns the duration without units that are zero at its end.
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

// MarshalText writes the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads what time.ParseDuration reads.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}
