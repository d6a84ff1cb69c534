package wire

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/propertytest"
)

// roundTrip encodes and decodes a frame.
func roundTrip(t *testing.T, f Frame) Frame {
	t.Helper()
	raw, err := Append(nil, f)
	if err != nil {
		t.Fatal(err)
	}
	out, err := Read(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func TestUpdateRoundTripKeepsAllFields(t *testing.T) {
	is := is.New(t)
	full := InstanceUpdate{
		Origin: 1 << 60, Seq: 300, AgeMillis: 12, Identity: &Identity{Instance: "a", Incarnation: "b", Address: "c", Domain: "d"},
		State: InstanceState{
			Capacity: 3, Leaving: true, StoreUnreachable: true, OrderLease: &OrderLeaseRecord{Holder: "h", Token: 4, End: 9}, ConfigVersion: 7,
			Loads: map[string]TargetLoad{"t": {PendingPromptTokens: 1000, KVCacheTokens: 2000, Requests: 3}}, LoadingTargets: []string{"x"},
			CacheStores: []CacheStore{{Address: "s", BootEpoch: 2}}, SilentTargets: []string{"y"}, OverdueInstances: map[string]int64{"z": 5},
			TargetLimits: []TargetLimit{{Target: "t", Born: 3, Service: "s", Rate: 1.5, Revision: 2}},
			Demand:       []AccountDemand{{Account: "acc", Urgency: 2, TokensPerSecond: 9000}}, PlainLoads: map[string]int{"p": 4},
			TargetRates: []TargetRate{{Target: "t", Born: 3, PrefillTokensPerSecond: 87000, Samples: 12}}, SlowTargets: []string{"w"},
			MemoryClaims:   []MemoryClaim{{Target: "t", Tokens: 12000, Ticket: 7}},
			NewConnections: 64, StoreContactStale: true,
			BlockedPieces: []BlockedPiece{{Piece: 1 << 63, FirstCrashMillis: 900, CrashMillis: 300, SeenMillis: 2, FailedProbes: 1, Released: true}},
		},
		Spent: map[string]float64{"acc": 1.5}, FirstEvent: 40,
		Events: []InstanceEvent{
			{Prompt: &PrefilledPrompt{Target: "t", Born: -1, SharedPieces: []uint64{1, 1 << 63}, CachedTokens: 9, CacheScope: "2/", SavedPieces: []uint64{7}}},
			{CrashFingerprint: 1 << 62, CrashTarget: 1 << 63},
			{Pieces: &PieceReport{Target: 1 << 63, AgeMillis: 20, Lost: []PieceValue{{Piece: 7, Value: 2}, {Piece: 8, Value: 1}}}},
			{Pieces: &PieceReport{Healthy: []PieceValue{{Piece: 7, Value: 350}}}},
			{Streams: &BegunStreams{Service: "engines", Software: "v2", Streams: []uint64{1 << 63, 7}}},
			{Returns: []ReturningRequest{{Fingerprint: 1 << 61, AfterMillis: 250}, {Fingerprint: 3}}},
		},
	}
	f, err := NewFrame(1, KindExchange, Exchange{Updates: []InstanceUpdate{full, {Origin: 2, Seq: 1}}})
	is.NoErr(err)
	var out Exchange
	is.NoErr(roundTrip(t, f).DecodeBody(&out))
	is.Equal(out.Updates, []InstanceUpdate{full, {Origin: 2, Seq: 1}})
}

// Guards against panics and large allocations when a malformed message announces
// lengths that it does not have.
func FuzzUpdate(f *testing.F) {
	good, err := NewFrame(1, KindExchange, Exchange{Updates: []InstanceUpdate{{Origin: 2, Seq: 1, Spent: map[string]float64{"a": 1}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(good.Body))
	f.Add([]byte{0x81, 0xa1, 'u', 0x91, 0x9a, 1, 1, 1, 0xc0, 1, 1, 0xdf, 0x7f, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var out Exchange
		if err := (Frame{Kind: KindExchange, Body: raw}).DecodeBody(&out); err != nil && !errors.Is(err, ErrFrameMalformed) {
			t.Fatal(err)
		}
	})
}

// Guards against updates that can be encoded but not decoded: the instance that
// publishes one would count as silent until its state changes.
func TestRandomUpdatesRoundTrip(t *testing.T) {
	word := rapid.StringN(0, 40, 300)
	words := rapid.SliceOfN(word, 0, 40)
	numbers := rapid.SliceOfN(rapid.Uint64(), 0, 40)
	rapid.Check(t, func(rt *rapid.T) {
		u := InstanceUpdate{
			Origin: rapid.Uint64().Draw(rt, "origin"), Seq: rapid.Uint64().Draw(rt, "seq"), AgeMillis: rapid.Int64().Draw(rt, "age"),
			State: InstanceState{
				Capacity: rapid.Int().Draw(rt, "capacity"), Leaving: rapid.Bool().Draw(rt, "leaving"), StoreUnreachable: rapid.Bool().Draw(rt, "cut"),
				ConfigVersion: rapid.Int64().Draw(rt, "config"), LoadingTargets: words.Draw(rt, "loading"), SilentTargets: words.Draw(rt, "silent"),
				OverdueInstances: rapid.MapOfN(word, rapid.Int64(), 0, 40).Draw(rt, "overdue"),
			},
			Spent: rapid.MapOfN(word, rapid.Float64(), 0, 40).Draw(rt, "spent"), FirstEvent: rapid.Uint64().Draw(rt, "first"),
		}
		for _, target := range words.Draw(rt, "loads") {
			if u.State.Loads == nil {
				u.State.Loads = map[string]TargetLoad{}
			}
			u.State.Loads[target] = TargetLoad{PendingPromptTokens: rapid.Int().Draw(rt, "unanswered"), KVCacheTokens: rapid.Int().Draw(rt, "held")}
		}
		for _, target := range words.Draw(rt, "limits") {
			u.State.TargetLimits = append(u.State.TargetLimits, TargetLimit{
				Target: target, Born: rapid.Int64().Draw(rt, "limit born"), Rate: rapid.Float64Range(0, 1e6).Draw(rt, "rate"), Revision: rapid.Uint64().Draw(rt, "change"),
			})
		}
		if rapid.Bool().Draw(rt, "named") {
			u.Identity = &Identity{Instance: word.Draw(rt, "instance")}
		}
		if rapid.Bool().Draw(rt, "orders") {
			u.State.OrderLease = &OrderLeaseRecord{Holder: word.Draw(rt, "holder"), Token: rapid.Int64().Draw(rt, "token"), Released: rapid.Bool().Draw(rt, "released")}
		}
		for range rapid.IntRange(0, 40).Draw(rt, "events") {
			e := InstanceEvent{CrashFingerprint: rapid.Uint64().Draw(rt, "crashed"), CrashTarget: rapid.Uint64().Draw(rt, "crash target")}
			if rapid.Bool().Draw(rt, "prompt") {
				e = InstanceEvent{Prompt: &PrefilledPrompt{
					Target: word.Draw(rt, "target"), Born: rapid.Int64().Draw(rt, "born"), SharedPieces: numbers.Draw(rt, "chain"),
					CachedTokens: rapid.Int().Draw(rt, "tokens"), CacheScope: word.Draw(rt, "scope"), SavedPieces: numbers.Draw(rt, "pieces"),
				}}
			}
			if rapid.Bool().Draw(rt, "streams") {
				e = InstanceEvent{Streams: &BegunStreams{Service: word.Draw(rt, "service"), Software: word.Draw(rt, "software"), Streams: numbers.Draw(rt, "streams begun")}}
			}
			u.Events = append(u.Events, e)
		}
		f, err := NewFrame(1, KindExchange, Exchange{Updates: []InstanceUpdate{u, u}})
		if err != nil {
			rt.Fatal(err)
		}
		var out Exchange
		if err := roundTrip(t, f).DecodeBody(&out); err != nil {
			rt.Fatal(err)
		}
		for _, decoded := range out.Updates {
			if !sameUpdate(u, decoded) {
				rt.Fatalf("decoded %+v, encoded %+v", decoded, u)
			}
		}
	})
}

// sameUpdate compares updates, treating nil and empty maps and slices as equal.
func sameUpdate(a, b InstanceUpdate) bool {
	normalized := func(u InstanceUpdate) string {
		if len(u.Spent) == 0 {
			u.Spent = nil
		}
		if len(u.State.OverdueInstances) == 0 {
			u.State.OverdueInstances = nil
		}
		for i, e := range u.Events {
			if e.Prompt != nil {
				p := *e.Prompt
				p.SharedPieces, p.SavedPieces = append([]uint64(nil), p.SharedPieces...), append([]uint64(nil), p.SavedPieces...)
				u.Events[i].Prompt = &p
			}
			if e.Streams != nil {
				begun := *e.Streams
				begun.Streams = append([]uint64(nil), begun.Streams...)
				u.Events[i].Streams = &begun
			}
		}
		u.State.LoadingTargets, u.State.SilentTargets = append([]string(nil), u.State.LoadingTargets...), append([]string(nil), u.State.SilentTargets...)
		u.State.TargetLimits = append([]TargetLimit(nil), u.State.TargetLimits...)
		raw, err := json.Marshal(u)
		if err != nil {
			return err.Error()
		}
		return string(raw)
	}
	return normalized(a) == normalized(b)
}

func TestMain(m *testing.M) { propertytest.Main(m, propertytest.DefaultChecks) }
