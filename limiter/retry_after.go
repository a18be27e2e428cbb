package limiter

import "time"

// maxRetryAfter bounds the time that an answer may ask for. An upstream that needs longer
// will have started again by then.
const maxRetryAfter = 24 * time.Hour

// ParseRetryAfter decodes the values of Retry-After in an answer, each a decimal number of
// seconds. Of several readable values the longest is taken. It returns 0 if there is none: a
// date is none, as it would depend on two clocks.
func ParseRetryAfter(values []string) time.Duration {
	longest := 0.0
	for seconds := range decimals(values) {
		longest = max(longest, min(seconds, maxRetryAfter.Seconds()))
	}
	return time.Duration(longest * float64(time.Second))
}
