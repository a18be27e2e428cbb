package limiter

import (
	"iter"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// maxRequestLimit is the highest limit that is stored, in requests per second. No
// upstream is sent as many, so that a higher one limits nothing more.
const maxRequestLimit = 1e6

// StatedLimit is what one answer of an upstream says of the requests per second that it
// accepts from all entries together.
type StatedLimit struct {
	Kind StatedLimitKind
	// PerSecond is set with LimitNamed, from 0 to maxRequestLimit.
	PerSecond float64
}

// StatedLimitKind says whether an answer names a limit.
type StatedLimitKind int

// The kinds of StatedLimit.
const (
	// LimitAbsent: the answer names no limit.
	LimitAbsent StatedLimitKind = iota
	// LimitNamed: the answer names a limit.
	LimitNamed
	// LimitUnreadable: the answer names a limit that can't be decoded. What was known
	// before holds.
	LimitUnreadable
)

var decimalNumber = regexp.MustCompile(`^[0-9]+(\.[0-9]+)?$`)

// ParseStatedLimit decodes the values in which an answer names its limit, each a decimal
// number. Of several readable values the lowest is taken.
func ParseStatedLimit(values []string) StatedLimit {
	if len(values) == 0 {
		return StatedLimit{}
	}
	stated := StatedLimit{Kind: LimitUnreadable}
	for perSecond := range decimals(values) {
		perSecond = min(perSecond, maxRequestLimit)
		if stated.Kind == LimitUnreadable || perSecond < stated.PerSecond {
			stated = StatedLimit{Kind: LimitNamed, PerSecond: perSecond}
		}
	}
	return stated
}

// decimals yields the decimal numbers in the values of a header, each of which may be a list.
// It leaves out everything else.
func decimals(values []string) iter.Seq[float64] {
	return func(yield func(float64) bool) {
		for _, value := range values {
			for text := range strings.SplitSeq(value, ",") {
				text = strings.TrimSpace(text)
				if !decimalNumber.MatchString(text) {
					continue
				}
				// The only error left is a number out of range, which is read as infinity.
				n, _ := strconv.ParseFloat(text, 64)
				if !yield(n) {
					return
				}
			}
		}
	}
}

// RequestLimit is what is known of the requests per second that an upstream accepts from
// all entries together. The zero value is a limit that was never named.
type RequestLimit struct {
	PerSecond float64
	InForce   bool
	// Stamp increases with each change. Of two limits of one incarnation of an upstream
	// the one with the higher stamp is newer.
	Stamp uint64
}

// minPace is the pace at which an upstream with a lower limit gets requests, per second.
// Only their answers can say that the limit has ended.
const minPace = 0.2

// Pace returns the requests per second to send in total while the limit is in force. It is
// positive even if the limit is 0.
func (l RequestLimit) Pace() float64 {
	return max(l.PerSecond, minPace)
}

// Observe returns the limit as it is known after an answer. underStamp is the stamp that
// was known when the request was sent: an answer that names no limit ends only the one
// that its request was sent under, since answers may overtake each other.
func (l RequestLimit) Observe(now time.Time, stated StatedLimit, underStamp uint64) RequestLimit {
	next := RequestLimit{Stamp: max(l.Stamp+1, uint64(max(0, now.UnixMilli())))}
	switch {
	case stated.Kind == LimitNamed && (!l.InForce || l.PerSecond != stated.PerSecond):
		next.PerSecond, next.InForce = stated.PerSecond, true
		return next
	case stated.Kind == LimitAbsent && l.InForce && l.Stamp == underStamp:
		return next
	default:
		return l
	}
}
