// Package testaddress hands out addresses for listeners of tests.
package testaddress

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
)

// Ports are handed out from ranges below the kernel's range of ephemeral ports. Otherwise an
// outgoing connection could take a port after it was chosen and before its listener starts, or
// while its listener restarts.
const (
	firstRange   = 8000
	rangeSize    = 3000
	rangeCount   = 8
	loopbackHost = "127.0.0.1"
)

// portRange is a range of ports that belongs to one process. Two processes with a common range
// would take each other's ports while one of their listeners restarts.
type portRange struct {
	// owner listens on the first port of the range for as long as the process runs.
	owner     net.Listener
	first     int
	allocated atomic.Int32
}

// claimPortRange claims a range that no other process has.
var claimPortRange = sync.OnceValue(func() *portRange {
	for i := range rangeCount {
		first := firstRange + i*rangeSize
		if l, err := net.Listen("tcp", loopbackAddress(first)); err == nil {
			return &portRange{owner: l, first: first}
		}
	}
	return nil
})

func loopbackAddress(port int) string { return net.JoinHostPort(loopbackHost, strconv.Itoa(port)) }

// Free returns a loopback ip:port that has no listener. It never returns the same one twice, nor one
// that another process gets.
func Free(t testing.TB) string {
	t.Helper()
	r := claimPortRange()
	if r == nil {
		t.Fatal("all port ranges are taken by other processes")
	}
	for {
		port := r.first + int(r.allocated.Add(1))
		if port >= r.first+rangeSize {
			t.Fatal("no free port left in the range of this process")
		}
		address := loopbackAddress(port)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
}
