package callerlimit

import "golang.org/x/sys/unix"

const (
	// callerDescriptorShare is the share of the descriptors that connections of callers may use. Each
	// request in progress needs another one for its target.
	callerDescriptorShare = 0.45
	// reservedDescriptors are left to files, listeners, peers and the store.
	reservedDescriptors = 200
	// minConnections is allowed however few descriptors there are.
	minConnections = 32
)

// ConnectionsFor returns the number of callers' connections for a process with the given number of
// file descriptors; 0 stands for the limit of this process.
func ConnectionsFor(descriptors int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && (descriptors == 0 || uint64(descriptors) > limit.Cur) {
		descriptors = int(min(limit.Cur, 1<<30))
	}
	return max(minConnections, int(callerDescriptorShare*float64(descriptors-reservedDescriptors)))
}
