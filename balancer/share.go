package balancer

// MinEntries is the number of entries that share a limit at least. A count of them may
// miss some for a moment, such as after a restart of all control replicas.
const MinEntries = 16

// RetryBurst returns the share of one entry in the number of retries that all entries
// together may send at once.
func RetryBurst(retryAllowance float64, entries int) float64 {
	return max(1, retryAllowance/float64(max(MinEntries, entries)))
}
