package parser

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"celeryvalve/identifier"
)

const (
	rateExample     = `write a rate such as "20Mbit/s" or "5MB/s"`
	sizeExample     = `write a size such as "512MiB" or "64KB"`
	durationExample = `write a duration such as "250ms", "2s" or "5m"`
)

// unit is the suffix of a unit and its size in bytes.
type unit struct {
	suffix string
	bytes  float64
}

// sizeUnits lists each suffix before the shorter ones that it ends with, since
// parseUnits takes the first that matches.
var sizeUnits = []unit{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"TiB", 1 << 40},
	{"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"TB", 1e12},
	{"B", 1},
}

var bitUnits = []unit{
	{"Kbit", 1e3 / 8}, {"Mbit", 1e6 / 8}, {"Gbit", 1e9 / 8}, {"bit", 1.0 / 8},
}

// ParseSize parses a number of bytes with its unit, such as "512MiB".
func ParseSize(text string) (identifier.ByteCount, error) {
	n, err := parseUnits(text, sizeUnits)
	if err != nil {
		return 0, err
	}
	if n != math.Trunc(n) {
		return 0, fmt.Errorf("size %q is not a whole number of bytes", text)
	}
	return identifier.ByteCount(n), nil
}

// ParseRate parses a number of bits or bytes per second with its unit, such as
// "20Mbit/s" or "5MB/s".
func ParseRate(text string) (identifier.BytesPerSecond, error) {
	amount, ok := strings.CutSuffix(text, "/s")
	if !ok {
		return 0, fmt.Errorf("rate %q does not end in /s", text)
	}
	units := sizeUnits
	if strings.HasSuffix(amount, "bit") {
		units = bitUnits
	}
	n, err := parseUnits(amount, units)
	return identifier.BytesPerSecond(n), err
}

// ParseDuration parses a duration such as "250ms". A negative one is an error.
func ParseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("duration %q is not a number with a unit", text)
	}
	if d < 0 {
		return 0, fmt.Errorf("duration %q is negative", text)
	}
	return d, nil
}

// FormatSize formats n in the largest unit in which it is a whole number.
func FormatSize(n identifier.ByteCount) string {
	return formatUnits(float64(n), sizeUnits)
}

// FormatRate formats r in the largest unit of bits in which it is a whole
// number. If there is none, it uses the largest such unit of bytes.
func FormatRate(r identifier.BytesPerSecond) string {
	n := float64(r)
	for _, u := range []unit{bitUnits[2], bitUnits[1], bitUnits[0]} {
		if n != 0 && n/u.bytes == math.Trunc(n/u.bytes) {
			return formatNumber(n/u.bytes) + u.suffix + "/s"
		}
	}
	return formatUnits(n, sizeUnits) + "/s"
}

func parseUnits(text string, units []unit) (float64, error) {
	for _, u := range units {
		number, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || n < 0 || math.IsNaN(n) || n*u.bytes > math.MaxInt64/2 {
			return 0, fmt.Errorf("amount %q is negative, too large or not a number with a unit", text)
		}
		return n * u.bytes, nil
	}
	return 0, fmt.Errorf("amount %q has no known unit", text)
}

func formatUnits(n float64, units []unit) string {
	best := units[len(units)-1]
	for _, u := range units {
		if n != 0 && u.bytes > best.bytes && n/u.bytes == math.Trunc(n/u.bytes) {
			best = u
		}
	}
	return formatNumber(n/best.bytes) + best.suffix
}

func formatNumber(n float64) string {
	return strconv.FormatFloat(n, 'f', -1, 64)
}
