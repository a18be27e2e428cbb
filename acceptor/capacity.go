package acceptor

import (
	"golang.org/x/sys/unix"

	"celeryvalve/identifier"
)

const (
	// connectionMemory is what a connection takes beside its head and its body: the buffers and stacks
	// of net/http, and what the kernel holds unread.
	connectionMemory = 48 << 10
	// memoryFraction is the fraction of the memory of a process that its connections may take.
	memoryFraction = 0.3
	// fileDescriptors are set aside for files, and socketFraction of the others is for the connections
	// of clients. The rest is for connections to upstreams and other processes.
	fileDescriptors = 200
	socketFraction  = 0.6
	// maxDescriptors is how many descriptors a process uses where the system sets no limit.
	maxDescriptors = 1 << 16
	// minConnections is how many connections fit in any case.
	minConnections = 32
)

// Capacity returns how many connections of clients a process may have, by its memory and by its
// descriptors. Zero stands for what is not known: the descriptors are at most those that the system
// allows.
func Capacity(memory identifier.ByteCount, descriptors int) int {
	descriptors = allowedDescriptors(descriptors)
	n := int(socketFraction * float64(descriptors-min(fileDescriptors, descriptors/2)))
	if memory > 0 {
		n = min(n, int(memoryFraction*float64(memory)/connectionMemory))
	}
	return max(n, minConnections)
}

// allowedDescriptors returns how many descriptors the process may have open.
func allowedDescriptors(given int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptors {
		limit.Cur = maxDescriptors
	}
	if given > 0 {
		return min(given, int(limit.Cur))
	}
	return int(limit.Cur)
}
