package wire

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestUpdateKeepsAllFields(t *testing.T) {
	is := is.New(t)
	full := InstanceUpdate{
		Origin: 1 << 60, Seq: 300, Age: 12, Identity: &Identity{Instance: "a", Incarnation: "b", Address: "c", Domain: "d"},
		State: InstanceState{
			Capacity: 3, Leaving: true, Cut: true, Orders: &LeaseRecord{Holder: "h", Token: 4, End: 9}, ConfigVersion: 7,
			Loads: map[string]TargetLoad{"t": {Unanswered: 1000, Held: 2000}}, Loading: []string{"x"},
			Stores: []CacheStore{{Address: "s", Boot: 2}}, Silent: []string{"y"}, Overdue: map[string]int64{"z": 5},
		},
		Spent: map[string]float64{"acc": 1.5}, FirstEvent: 40,
		Events: []InstanceEvent{
			{Prompt: &SentPrompt{Target: "t", Born: -1, Chain: []uint64{1, 1 << 63}, Tokens: 9, Scope: "2/", Pieces: []uint64{7}}},
			{Crashed: 1 << 62},
		},
	}
	f, err := NewFrame(1, KindExchange, Exchange{Updates: []InstanceUpdate{full, {Origin: 2, Seq: 1}}})
	is.NoErr(err)
	var out Exchange
	is.NoErr(f.Into(&out))
	is.Equal(out.Updates, []InstanceUpdate{full, {Origin: 2, Seq: 1}})
}

// Guards against memory that is reserved for what a broken message announces.
func FuzzUpdate(f *testing.F) {
	good, err := NewFrame(1, KindExchange, Exchange{Updates: []InstanceUpdate{{Origin: 2, Seq: 1, Spent: map[string]float64{"a": 1}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(good.Body))
	f.Add([]byte{0x81, 0xa1, 'u', 0x91, 0x9a, 1, 1, 1, 0xc0, 1, 1, 0xdf, 0x7f, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var out Exchange
		if err := (Frame{Kind: KindExchange, Body: raw}).Into(&out); err != nil && !errors.Is(err, ErrFrameMalformed) {
			t.Fatal(err)
		}
	})
}
