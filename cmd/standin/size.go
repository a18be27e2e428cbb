package main

import (
	"strconv"
	"strings"

	"celeryvalve/explainer"
)

// size is a number of bytes, written plain or with KiB, MiB or GiB.
type size int64

// UnmarshalText reads "8MiB", "512KiB", "1GiB" or "4096".
func (s *size) UnmarshalText(text []byte) error {
	digits := string(text)
	unit := int64(1)
	for suffix, factor := range map[string]int64{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30} {
		if rest, ok := strings.CutSuffix(digits, suffix); ok {
			digits = rest
			unit = factor
			break
		}
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n < 0 {
		return explainer.New(explainer.InvalidInput, "size "+string(text)+" is malformed",
			"write bytes, or a number with KiB, MiB or GiB such as 8MiB")
	}
	*s = size(n * unit)
	return nil
}
