package connrelay

import (
	"io"
	"net"
	"runtime"
	"testing"
)

// BenchmarkOpen establishes relayed connections and keeps them open. memory-B/op is the heap and
// the stacks of the instance, its peer and the target, which share a process here.
func BenchmarkOpen(b *testing.B) {
	a, _ := newPair(b)
	a.setDirect(refuse)
	address := startTarget(b, echo)
	var conns []net.Conn
	before := usedMemory()
	b.ResetTimer()
	for range b.N {
		conn, err := a.dialer.dialRelayed(b.Context(), address)
		if err != nil {
			b.Fatal(err)
		}
		conns = append(conns, conn)
	}
	b.StopTimer()
	b.ReportMetric(float64(usedMemory()-before)/float64(b.N), "memory-B/op")
	for _, conn := range conns {
		conn.Close()
	}
}

func usedMemory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkExchange sends 4 KB over a relayed connection and receives as much.
func BenchmarkExchange(b *testing.B) {
	a, _ := newPair(b)
	a.setDirect(refuse)
	conn, err := a.dialer.dialRelayed(b.Context(), startTarget(b, echo))
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	data := make([]byte, 4<<10)
	b.SetBytes(int64(len(data)))
	b.ResetTimer()
	for range b.N {
		if _, err := conn.Write(data); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(conn, data); err != nil {
			b.Fatal(err)
		}
	}
}
