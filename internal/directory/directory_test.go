package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func registered(id string, startedMs, seq int64, state State) Event {
	return Event{ID: id, Registration: &Registration{
		ID: id, Service: "s", Address: "10.0.0.1:80", State: state, StartedMs: startedMs, Seq: seq,
	}}
}

func removed(id string) Event { return Event{ID: id} }

// usable returns the IDs of the targets that may receive work.
func usable(d *Directory) []string {
	ids := []string{}
	for _, r := range d.Usable("s") {
		ids = append(ids, r.ID)
	}
	return ids
}

func TestEventsDetermineUsableTargets(t *testing.T) {
	cases := map[string]struct {
		events []Event
		want   []string
	}{
		"registered":                       {[]Event{registered("b", 1, 1, Ready), registered("a", 1, 1, Ready)}, []string{"a", "b"}},
		"draining":                         {[]Event{registered("a", 1, 1, Ready), registered("a", 1, 2, Draining)}, []string{}},
		"removed":                          {[]Event{registered("a", 1, 1, Ready), removed("a")}, []string{}},
		"older record arrives late":        {[]Event{registered("a", 1, 2, Draining), registered("a", 1, 1, Ready)}, []string{}},
		"restarted with the same ID":       {[]Event{registered("a", 1, 9, Draining), registered("a", 2, 1, Ready)}, []string{"a"}},
		"earlier incarnation arrives late": {[]Event{registered("a", 2, 1, Draining), registered("a", 1, 9, Ready)}, []string{}},
		"removed twice":                    {[]Event{removed("a"), removed("a")}, []string{}},
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

// The store is unavailable for five seconds. All records expire in that time although
// their targets are alive. The targets must stay usable until their records are
// renewed, otherwise no request could be served.
func TestRecordsExpiredDuringStoreOutageStayUsable(t *testing.T) {
	is := is.New(t)
	d := New()
	d.ApplyEvents(1*time.Second, []Event{registered("a", 1, 1, Ready), registered("b", 1, 1, Ready), registered("c", 1, 1, Draining)})
	d.ApplyEvents(6*time.Second, []Event{removed("a"), removed("b"), removed("c")})
	is.Equal(usable(d), []string{"a", "b"})
	d.ApplyEvents(7*time.Second, []Event{registered("a", 1, 2, Ready)})
	is.Equal(usable(d), []string{"a", "b"})
	d.ApplyEvents(6*time.Second+StoreRecoveryGrace, nil)
	is.Equal(usable(d), []string{"a"}) // b's record was not renewed
}

// While the store is available, a removed record means that its target has left. No
// request may be sent to it.
func TestRemovalTakesEffectAtOnceWhileStoreIsAvailable(t *testing.T) {
	is := is.New(t)
	d := New()
	d.ApplyEvents(1*time.Second, []Event{registered("a", 1, 1, Ready)})
	d.ApplyEvents(2*time.Second, []Event{removed("a")})
	is.Equal(usable(d), []string{})
}

// The store lost its history and the registrations are read in full. Targets that are
// not among them have left.
func TestReplaceAllRemovesMissingTargets(t *testing.T) {
	is := is.New(t)
	d := New()
	d.ApplyEvents(1*time.Second, []Event{registered("a", 1, 1, Ready), registered("b", 1, 1, Ready)})
	d.ReplaceAll(2*time.Second, []Event{registered("b", 1, 2, Ready)})
	is.Equal(usable(d), []string{"b"})
}

func TestRevisionIgnoresHeartbeats(t *testing.T) {
	is := is.New(t)
	d := New()
	d.ApplyEvents(1*time.Second, []Event{registered("a", 1, 1, Ready)})
	first := d.Revision()
	d.ApplyEvents(2*time.Second, []Event{registered("a", 1, 2, Ready)}) // a heartbeat
	is.Equal(d.Revision(), first)
	d.ApplyEvents(3*time.Second, []Event{registered("a", 1, 3, Draining)})
	is.True(d.Revision() > first)
	r, ok := d.Find("a")
	is.True(ok)
	is.Equal(r.State, Draining)
	is.Equal(len(d.All()), 1)
}

// Guards against new work for a target that has announced in a response that it leaves, when
// its record is renewed, expires and comes back, or is read again from the beginning.
func TestAnnouncedLeavingOutlastsRegistrations(t *testing.T) {
	for name, renew := range map[string]func(d *Directory){
		"renewed": func(d *Directory) { d.ApplyEvents(2*time.Second, []Event{registered("a", 1, 2, Ready)}) },
		"expired and back": func(d *Directory) {
			d.ApplyEvents(2*time.Second, []Event{removed("a")})
			d.ApplyEvents(3*time.Second, []Event{registered("a", 1, 2, Ready)})
		},
		"back long after an outage": func(d *Directory) {
			d.ApplyEvents(20*time.Second, []Event{removed("a")})
			d.ApplyEvents(60*time.Second, []Event{registered("a", 1, 2, Ready)})
		},
		"read again": func(d *Directory) { d.ReplaceAll(2*time.Second, []Event{registered("a", 1, 2, Ready)}) },
		"not registered yet when it announced it": func(d *Directory) {
			*d = *New()
			d.MarkLeaving(time.Second, Incarnation{ID: "a", StartedMs: 1})
			d.ApplyEvents(2*time.Second, []Event{registered("a", 1, 1, Ready)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := New()
			d.ApplyEvents(time.Second, []Event{registered("a", 1, 1, Ready)})
			before := d.Revision()
			is.True(d.MarkLeaving(time.Second, Incarnation{ID: "a", StartedMs: 1}))
			is.True(d.Revision() > before)
			is.True(!d.MarkLeaving(time.Second, Incarnation{ID: "a", StartedMs: 1}))
			is.Equal(usable(d), []string{})
			renew(d)
			is.Equal(usable(d), []string{})
			d.ApplyEvents(70*time.Second, []Event{registered("a", 2, 1, Ready)}) // a new incarnation
			is.Equal(usable(d), []string{"a"})
		})
	}
}

// Guards against a directory that grows with every target that has ever left.
func TestAnnouncementsOfGoneTargetsExpire(t *testing.T) {
	is := is.New(t)
	d := New()
	d.MarkLeaving(time.Second, Incarnation{ID: "gone", StartedMs: 1})
	d.ApplyEvents(time.Second+leavingRetention, nil)
	is.Equal(len(d.leaving), 1)
	d.ApplyEvents(2*time.Second+leavingRetention, nil)
	is.Equal(len(d.leaving), 0)
}

func TestAddressesOfRegisteredTargetsAreKnown(t *testing.T) {
	is := is.New(t)
	d := New()
	d.ApplyEvents(0, []Event{registered("a", 1, 1, Ready)})
	is.True(d.HasAddress("10.0.0.1:80"))
	is.True(!d.HasAddress("10.0.0.2:80"))
}
