package config

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/logrec"
)

// simulation is the state machine of the property test: one log, operators that
// append to it, and instances that have each read a part of it.
type simulation struct {
	log       *fakeLog
	instances []*Follower
	// reference[n] is the state after the first n records of the untrimmed log.
	reference []*State
	ops       int
}

func newSimulation() *simulation {
	sim := &simulation{log: &fakeLog{}, reference: []*State{EmptyState()}}
	for range 3 {
		sim.instances = append(sim.instances, NewFollower())
	}
	return sim
}

func (sim *simulation) newest() *State { return sim.reference[len(sim.reference)-1] }

func (sim *simulation) write(t *rapid.T, kind logrec.Kind, by string, body any) {
	offset := sim.log.append(kind, by, body)
	s, err := Apply(sim.newest(), sim.log.records[offset])
	if err != nil {
		t.Fatal(err)
	}
	sim.reference = append(sim.reference, s)
}

func (sim *simulation) publish(t *rapid.T) {
	sim.ops++
	seen := sim.reference[rapid.IntRange(0, len(sim.reference)-1).Draw(t, "seen")]
	file := rapid.SampledFrom([]string{"a.ini", "b.ini"}).Draw(t, "file")
	rate := rapid.IntRange(0, 5).Draw(t, "rate")
	body := change(fmt.Sprint(sim.ops), file, seen.FileRevision(file), accountFile(file[:1], rate))
	if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
		body.Files[0] = FileChange{Name: file, Base: seen.FileRevision(file), Delete: true}
	}
	// After a lost answer the tool or the network may append it twice.
	for range rapid.IntRange(1, 2).Draw(t, "times") {
		sim.write(t, KindChange, "operator", body)
	}
}

func (sim *simulation) changeKey(t *rapid.T) {
	sim.ops++
	n := rapid.IntRange(0, 3).Draw(t, "key")
	op, id, hash := fmt.Sprint(sim.ops), fmt.Sprint("k", n), fmt.Sprintf("%064x", n)
	if rapid.Bool().Draw(t, "create") {
		sim.write(t, KindKeyCreate, "operator", KeyCreate{Op: op, ID: id, Account: "a", SHA256: hash})
	} else {
		sim.write(t, KindKeyWithdraw, "operator", KeyWithdraw{Op: op, ID: id, SHA256: hash})
	}
}

// snapshot writes a snapshot of any earlier state, as the holder of the snapshot
// lease does after a pause.
func (sim *simulation) snapshot(t *rapid.T) {
	s := sim.reference[rapid.IntRange(0, len(sim.reference)-1).Draw(t, "of")]
	records, err := SnapshotRecords(s, "instance", 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range records {
		e, _ := logrec.Decode(r)
		sim.write(t, KindSnapshot, e.Writer, e.Body)
	}
}

func (sim *simulation) trim(t *rapid.T) {
	sim.log.start = rapid.Int64Range(sim.log.start, int64(len(sim.log.records))).Draw(t, "start")
}

func (sim *simulation) restart(t *rapid.T) {
	sim.instances[rapid.IntRange(0, 2).Draw(t, "who")] = NewFollower()
}

func (sim *simulation) read(t *rapid.T) {
	f := sim.instances[rapid.IntRange(0, 2).Draw(t, "who")]
	sim.step(t, f, func() error { return sim.log.read(f, rapid.IntRange(0, 9).Draw(t, "limit")) })
}

func (sim *simulation) adoptPeerState(t *rapid.T) {
	from := sim.instances[rapid.IntRange(0, 2).Draw(t, "from")].State()
	f := sim.instances[rapid.IntRange(0, 2).Draw(t, "to")]
	if from == nil {
		return
	}
	s, err := DecodeState(mustEncode(t, from))
	if err != nil {
		t.Fatal(err)
	}
	sim.step(t, f, func() error { _, err := f.Adopt(s); return err })
}

// step runs an action of one instance and checks that its state does not revert.
func (sim *simulation) step(t *rapid.T, f *Follower, action func() error) {
	before := f.State()
	if err := action(); err != nil {
		t.Fatal(err)
	}
	if before != nil && before.NewerThan(f.State()) {
		t.Fatalf("state reverted from revision %d at offset %d to revision %d at offset %d", before.Revision, before.Next, f.State().Revision, f.State().Next)
	}
}

// check compares the state of each instance with the reference.
func (sim *simulation) check(t *rapid.T) {
	for i, f := range sim.instances {
		s := f.State()
		if s == nil {
			continue
		}
		want := sim.reference[s.Next]
		if !bytes.Equal(mustEncode(t, s), mustEncode(t, want)) {
			t.Fatalf("instance %d at offset %d differs from the reference", i, s.Next)
		}
		if fmt.Sprint(s.Intent()) != fmt.Sprint(want.Intent()) {
			t.Fatalf("instance %d at offset %d: intent %v, want %v", i, s.Next, s.Intent(), want.Intent())
		}
	}
}

// Operators publish concurrently, answers are lost, the log is trimmed,
// snapshots are late or of old states, instances restart and adopt each other's
// states. At equal offsets all instances must have equal states, and no state
// may revert.
func TestInstancesAgreeAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"publish": sim.publish, "key": sim.changeKey, "snapshot": sim.snapshot, "trim": sim.trim,
			"restart": sim.restart, "read": sim.read, "exchange": sim.adoptPeerState, "": sim.check,
		})
	})
}
