package callerlimit

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against callers' connections that leave no descriptors for targets, peers and files: each
// request in progress needs one of each side.
func TestConnectionsLeaveDescriptors(t *testing.T) {
	is := is.New(t)
	for _, descriptors := range []int{0, 512, 1000} {
		n := ConnectionsFor(descriptors)
		is.True(n >= minConnections)
		if descriptors > 0 {
			is.True(2*n+reservedDescriptors <= descriptors)
		}
	}
	is.Equal(ConnectionsFor(1), minConnections)
}
