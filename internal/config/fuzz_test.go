package config

import (
	"bytes"
	"testing"

	"github.com/mastictray/mastictray/internal/logrec"
)

func FuzzApply(f *testing.F) {
	seed, _ := logrec.Encode(KindChange, "o", 0, change("1", "a.ini", NoRevision, accountFile("a", 1)))
	f.Add(seed)
	seed, _ = logrec.Encode(KindKeyWithdraw, "o", 0, KeyWithdraw{Op: "1", ID: "k", SHA256: goodHash})
	f.Add(seed)
	seed, _ = logrec.Encode(KindSnapshot, "o", 0, SnapshotPart{Next: 0, Parts: 1, Data: []byte{0x80}})
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		a, errA := Apply(EmptyState(), data)
		b, errB := Apply(EmptyState(), data)
		if (errA == nil) != (errB == nil) || !bytes.Equal(mustEncode(t, a), mustEncode(t, b)) {
			t.Fatal("applying the same record to equal states gave different states")
		}
		if errA == nil && a.Next != 1 {
			t.Fatalf("next offset is %d, want 1", a.Next)
		}
		if _, err := DecodeState(mustEncode(t, a)); err != nil {
			t.Fatal(err)
		}
		NewFollower().assembler.add(data)
	})
}

func FuzzDecodeState(f *testing.F) {
	data, _ := EmptyState().Encode()
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = DecodeState(data) })
}
