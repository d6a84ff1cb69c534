package config

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/logrec"
)

// world is the machine of the property test: one log, some operators and
// some instances with whatever each has read.
type world struct {
	log       *fakeLog
	instances []*Follower
	// reference folds every record; trims never reach it.
	reference []*State
	ops       int
}

func newWorld() *world {
	w := &world{log: &fakeLog{}, reference: []*State{EmptyState()}}
	for range 3 {
		w.instances = append(w.instances, NewFollower())
	}
	return w
}

func (w *world) newest() *State { return w.reference[len(w.reference)-1] }

func (w *world) write(t *rapid.T, kind logrec.Kind, by string, body any) {
	o := w.log.append(kind, by, body)
	s, err := Apply(w.newest(), w.log.records[o])
	if err != nil {
		t.Fatal(err)
	}
	w.reference = append(w.reference, s)
}

func (w *world) publish(t *rapid.T) {
	w.ops++
	seen := w.reference[rapid.IntRange(0, len(w.reference)-1).Draw(t, "seen")]
	file := rapid.SampledFrom([]string{"a.ini", "b.ini"}).Draw(t, "file")
	rate := rapid.IntRange(0, 5).Draw(t, "rate")
	body := change(fmt.Sprint(w.ops), file, seen.FileRevision(file), accountFile(file[:1], rate))
	if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
		body.Files[0] = FileChange{Name: file, Base: seen.FileRevision(file), Delete: true}
	}
	// A lost answer makes the tool or the network append it twice.
	for range rapid.IntRange(1, 2).Draw(t, "times") {
		w.write(t, KindChange, "operator", body)
	}
}

func (w *world) keyOrder(t *rapid.T) {
	w.ops++
	n := rapid.IntRange(0, 3).Draw(t, "key")
	op, id, hash := fmt.Sprint(w.ops), fmt.Sprint("k", n), fmt.Sprintf("%064x", n)
	if rapid.Bool().Draw(t, "create") {
		w.write(t, KindKeyCreate, "operator", KeyCreate{Op: op, ID: id, Account: "a", SHA256: hash})
	} else {
		w.write(t, KindKeyWithdraw, "operator", KeyWithdraw{Op: op, ID: id, SHA256: hash})
	}
}

// snapshot writes the state of any earlier time: a duty holder that was
// paused does the same.
func (w *world) snapshot(t *rapid.T) {
	s := w.reference[rapid.IntRange(0, len(w.reference)-1).Draw(t, "of")]
	records, err := SnapshotRecords(s, "instance", 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range records {
		e, _ := logrec.Decode(r)
		w.write(t, KindSnapshot, e.By, e.Body)
	}
}

func (w *world) trim(t *rapid.T) {
	w.log.start = rapid.Int64Range(w.log.start, int64(len(w.log.records))).Draw(t, "start")
}

func (w *world) restart(t *rapid.T) {
	w.instances[rapid.IntRange(0, 2).Draw(t, "who")] = NewFollower()
}

func (w *world) read(t *rapid.T) {
	f := w.instances[rapid.IntRange(0, 2).Draw(t, "who")]
	w.advance(t, f, func() error { return w.log.read(f, rapid.IntRange(0, 9).Draw(t, "limit")) })
}

func (w *world) exchange(t *rapid.T) {
	from := w.instances[rapid.IntRange(0, 2).Draw(t, "from")].State()
	f := w.instances[rapid.IntRange(0, 2).Draw(t, "to")]
	if from == nil {
		return
	}
	s, err := DecodeState(mustEncode(t, from))
	if err != nil {
		t.Fatal(err)
	}
	w.advance(t, f, func() error { _, err := f.Adopt(s); return err })
}

// advance runs a step of one instance and checks that it did not go back.
func (w *world) advance(t *rapid.T, f *Follower, step func() error) {
	before := f.State()
	if err := step(); err != nil {
		t.Fatal(err)
	}
	if before != nil && before.NewerThan(f.State()) {
		t.Fatalf("went back from %d/%d to %d/%d", before.Revision, before.Next, f.State().Revision, f.State().Next)
	}
}

// check compares each instance with the fold of the whole log.
func (w *world) check(t *rapid.T) {
	for i, f := range w.instances {
		s := f.State()
		if s == nil {
			continue
		}
		want := w.reference[s.Next]
		if !bytes.Equal(mustEncode(t, s), mustEncode(t, want)) {
			t.Fatalf("instance %d at offset %d differs from the fold of the log", i, s.Next)
		}
		if fmt.Sprint(s.Intent()) != fmt.Sprint(want.Intent()) {
			t.Fatalf("instance %d at offset %d: intent %v, want %v", i, s.Next, s.Intent(), want.Intent())
		}
	}
}

// Operators race, answers are lost, the log is trimmed, snapshots come late
// and from old states, instances restart and take states from each other. At
// equal offsets all instances are equal, and none ever goes back.
func TestInstancesAgreeAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"publish": w.publish, "key": w.keyOrder, "snapshot": w.snapshot, "trim": w.trim,
			"restart": w.restart, "read": w.read, "exchange": w.exchange, "": w.check,
		})
	})
}
