package callerlimit

import (
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/mastictray/mastictray/internal/logline"
)

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

// BoundReceiveBuffer is a net.ListenConfig.Control that bounds what the kernel holds unread of each
// connection. A listener for which that fails works without the bound.
func BoundReceiveBuffer(_, address string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, ReceiveBufferBytes)
	})
	if err = errors.CombineErrors(err, setErr); err != nil {
		logline.Error(err, "receive_buffer_unbounded", "address", address)
	}
	return nil
}
