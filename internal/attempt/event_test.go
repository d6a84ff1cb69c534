package attempt

import (
	"encoding/json"
	"strconv"
	"testing"

	"github.com/mastictray/mastictray/internal/sse"
)

func BenchmarkEvent(b *testing.B) {
	s := NewStream(Policy{RequestID: "req"})
	conn := s.Dispatch(0, "a1", "t1")
	e := event("a1", 0, "word")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e.ID = strconv.Itoa(i)
		if s.Event(0, conn, e).Kind != Relay {
			b.Fatal("not relayed")
		}
	}
}

// For any chunk from a target, the relay does not panic, and what it relays is JSON with
// the request's id.
func FuzzEvent(f *testing.F) {
	f.Add([]byte(`{"id":"cmpl-a1","choices":[]}`))
	f.Add([]byte(`{"x":"cmpl-a1","id":"cmpl-a1","id":"cmpl-a1"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewStream(Policy{RequestID: "req"})
		conn := s.Dispatch(0, "a1", "t1")
		a := s.Event(0, conn, sse.Event{ID: "0", HasID: true, Data: data})
		if a.Kind != Relay || a.Done {
			return
		}
		var c chunk
		if json.Unmarshal(a.Data, &c) != nil || c.ID != "cmpl-req" {
			t.Fatalf("relayed %q", a.Data)
		}
	})
}
