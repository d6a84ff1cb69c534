package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func put(id string, born, seq int64, state State) Event {
	return Event{ID: id, Registration: &Registration{
		ID: id, Service: "s", Address: "10.0.0.1:80", State: state, StartedMs: born, Seq: seq,
	}}
}

func gone(id string) Event { return Event{ID: id} }

// usable lists the IDs that may get work.
func usable(d *Directory) []string {
	ids := []string{}
	for _, r := range d.Usable("s") {
		ids = append(ids, r.ID)
	}
	return ids
}

func TestEventsChangeWhoMayGetWork(t *testing.T) {
	cases := map[string]struct {
		events []Event
		want   []string
	}{
		"registered":               {[]Event{put("b", 1, 1, Ready), put("a", 1, 1, Ready)}, []string{"a", "b"}},
		"draining":                 {[]Event{put("a", 1, 1, Ready), put("a", 1, 2, Draining)}, []string{}},
		"gone":                     {[]Event{put("a", 1, 1, Ready), gone("a")}, []string{}},
		"an older record is late":  {[]Event{put("a", 1, 2, Draining), put("a", 1, 1, Ready)}, []string{}},
		"restarted under its name": {[]Event{put("a", 1, 9, Draining), put("a", 2, 1, Ready)}, []string{"a"}},
		"an ended start is late":   {[]Event{put("a", 2, 1, Draining), put("a", 1, 9, Ready)}, []string{}},
		"gone twice":               {[]Event{gone("a"), gone("a")}, []string{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := New()
			d.ApplyEvents(time.Second, c.events)
			is.Equal(usable(d), c.want)
		})
	}
}

// The store is away for five seconds, and every record lapses meanwhile though
// its target lives. Callers must not see a fleet without targets: the targets
// stay until their records are back.
func TestRecordsThatLapsedWhileTheStoreWasAway(t *testing.T) {
	is := is.New(t)
	d := New()
	d.ApplyEvents(1*time.Second, []Event{put("a", 1, 1, Ready), put("b", 1, 1, Ready), put("c", 1, 1, Draining)})
	d.ApplyEvents(6*time.Second, []Event{gone("a"), gone("b"), gone("c")})
	is.Equal(usable(d), []string{"a", "b"})
	d.ApplyEvents(7*time.Second, []Event{put("a", 1, 2, Ready)})
	is.Equal(usable(d), []string{"a", "b"})
	d.ApplyEvents(6*time.Second+StoreRecoveryGrace, nil)
	is.Equal(usable(d), []string{"a"}) // b did not come back: it is gone
}

// While the store answers, a record that goes means that its target went, and
// no request may follow it.
func TestRemovalCountsAtOnceWhileTheStoreAnswers(t *testing.T) {
	is := is.New(t)
	d := New()
	d.ApplyEvents(1*time.Second, []Event{put("a", 1, 1, Ready)})
	d.ApplyEvents(2*time.Second, []Event{gone("a")})
	is.Equal(usable(d), []string{})
}

// The store drops its history, and the registrations are read whole: what is
// not among them went unseen.
func TestReplaceDropsWhatIsMissing(t *testing.T) {
	is := is.New(t)
	d := New()
	d.ApplyEvents(1*time.Second, []Event{put("a", 1, 1, Ready), put("b", 1, 1, Ready)})
	d.ReplaceAll(2*time.Second, []Event{put("b", 1, 2, Ready)})
	is.Equal(usable(d), []string{"b"})
}

func TestRevisionFollowsWhatMatters(t *testing.T) {
	is := is.New(t)
	d := New()
	d.ApplyEvents(1*time.Second, []Event{put("a", 1, 1, Ready)})
	first := d.Revision()
	d.ApplyEvents(2*time.Second, []Event{put("a", 1, 2, Ready)}) // a heartbeat
	is.Equal(d.Revision(), first)
	d.ApplyEvents(3*time.Second, []Event{put("a", 1, 3, Draining)})
	is.True(d.Revision() > first)
	r, ok := d.Find("a")
	is.True(ok)
	is.Equal(r.State, Draining)
	is.Equal(len(d.All()), 1)
}
