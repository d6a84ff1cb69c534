package configsync

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/wire"
)

const (
	ms       = time.Millisecond
	testLink = 1_250_000.0 // bytes per second
)

// transferTest is a receiver with its sources.
type transferTest struct {
	*is.I
	t       *testing.T
	now     time.Duration
	r       *Receiver
	have    *Snapshot
	sources []Source
	senders map[string]*Sender
}

func newTransferTest(t *testing.T, have *Snapshot, sources ...Source) *transferTest {
	x := &transferTest{
		I: is.New(t), t: t, r: NewReceiver("self", testLink, 0.5), have: have, sources: sources, senders: map[string]*Sender{},
	}
	for _, s := range sources {
		x.senders[s.Name] = NewSender(testLink)
	}
	return x
}

func (x *transferTest) ref() wire.ConfigRef {
	if x.have == nil {
		return wire.ConfigRef{}
	}
	return x.have.Ref
}

// nextCall advances the time to the next request and returns it with its source.
func (x *transferTest) nextCall() (string, wire.ConfigPartRequest) {
	x.t.Helper()
	for range 1000 {
		source, c, wait := x.r.NextRequest(x.now, x.ref(), x.sources)
		if source != "" {
			return source, c
		}
		x.now += max(wait, ms)
	}
	x.t.Fatal("no call")
	return "", wire.ConfigPartRequest{}
}

// answer lets a sender answer a request, 2 ms later.
func (x *transferTest) answer(source string, c wire.ConfigPartRequest) (raw []byte, done bool) {
	x.t.Helper()
	x.now += 2 * ms
	part, err := x.senders[source].Part(x.now, c)
	x.NoErr(err)
	return x.r.HandlePart(x.now, part)
}

// finish makes calls until the transfer is complete.
func (x *transferTest) finish() *Snapshot {
	x.t.Helper()
	for range 1000 {
		source, c := x.nextCall()
		if raw, done := x.answer(source, c); done {
			s, err := Apply(x.have, raw)
			x.NoErr(err)
			return s
		}
	}
	x.t.Fatal("not finished")
	return nil
}

func TestTransferKeepsItsSource(t *testing.T) {
	next := snapshotOf(t, testConfig(2, 5000))
	x := newTransferTest(t, nil, Source{Name: "a", Version: 2}, Source{Name: "b", Version: 2})
	x.senders["a"].AddSnapshot(next)
	x.senders["b"].AddSnapshot(next)
	first, c := x.nextCall()
	x.answer(first, c)
	for range 3 {
		source, c := x.nextCall()
		x.Equal(source, first)
		x.answer(source, c)
	}
	x.Equal(x.finish().Ref, next.Ref)
}

// Guards against transfers that restart from the beginning when their source is lost.
func TestTransferContinuesWithAnotherSource(t *testing.T) {
	next := snapshotOf(t, testConfig(2, 5000))
	x := newTransferTest(t, nil, Source{Name: "a", Version: 2}, Source{Name: "b", Version: 2})
	x.senders["a"].AddSnapshot(next)
	x.senders["b"].AddSnapshot(next)
	first, c := x.nextCall()
	x.answer(first, c)
	lost, _ := x.nextCall()
	x.Equal(lost, first)
	x.r.HandleFailure(x.now)
	other, c := x.nextCall()
	x.True(other != first)
	x.Equal(c.Offset, x.r.partBytes)
	x.answer(other, c)
	x.True(x.r.Active(x.now))
	x.Equal(x.finish().Ref, next.Ref)
}

// Guards against transfers that are abandoned for each newer version: if versions are
// published faster than one is transferred, no transfer would ever complete.
func TestTransferCompletesDespiteNewerVersion(t *testing.T) {
	second := snapshotOf(t, testConfig(2, 5000))
	x := newTransferTest(t, nil, Source{Name: "a", Version: 2})
	x.senders["a"].AddSnapshot(second)
	source, c := x.nextCall()
	x.answer(source, c)
	third := snapshotOf(t, testConfig(3, 5001))
	x.senders["a"].AddSnapshot(third)
	x.sources[0].Version = 3
	x.have = x.finish()
	x.Equal(x.have.Ref, second.Ref)
	_, c = x.nextCall()
	x.Equal(c.Base, second.Ref)
	x.answer("a", c)
}

func TestBusySourceIsReplaced(t *testing.T) {
	next := snapshotOf(t, testConfig(2, 5000))
	x := newTransferTest(t, nil, Source{Name: "a", Version: 2, SameDomain: true}, Source{Name: "b", Version: 2})
	x.senders["a"] = NewSender(1000)
	x.senders["a"].AddSnapshot(next)
	x.senders["b"].AddSnapshot(next)
	_, err := x.senders["a"].Part(x.now, wire.ConfigPartRequest{Limit: maxPartBytes}) // uses up the budget for a minute
	x.NoErr(err)
	source, c := x.nextCall()
	x.Equal(source, "a")
	x.answer(source, c)
	source, _ = x.nextCall()
	x.Equal(source, "b")
}

// Guards against requesting the same delta forever when it cannot be applied, as the
// receiver's configuration is not the base that it was taken for.
func TestRejectedDeltaIsFollowedByCompleteEncoding(t *testing.T) {
	base, next := snapshotOf(t, testConfig(1, 20)), snapshotOf(t, testConfig(2, 21))
	x := newTransferTest(t, base, Source{Name: "a", Version: 2}, Source{Name: "b", Version: 2})
	for _, s := range x.senders {
		s.AddSnapshot(base)
		s.AddSnapshot(next)
	}
	first, c := x.nextCall()
	_, done := x.answer(first, c)
	x.True(done)
	x.r.RejectEncoding(x.now, first)
	source, c := x.nextCall()
	x.True(source != first)
	part, err := x.senders[source].Part(x.now, c)
	x.NoErr(err)
	x.Equal(part.Base, wire.ConfigRef{})
	raw, done := x.r.HandlePart(x.now, part)
	x.True(done)
	got, err := Apply(base, raw)
	x.NoErr(err)
	x.Equal(got.Ref, next.Ref)
}

func TestNoRequestWithoutNewerVersion(t *testing.T) {
	x := newTransferTest(t, snapshotOf(t, testConfig(2, 5)), Source{Name: "a", Version: 2}, Source{Name: "b", Version: 1})
	source, _, wait := x.r.NextRequest(x.now, x.ref(), x.sources)
	x.Equal(source, "")
	x.Equal(wait, time.Duration(0))
}

// The rate limit of a sender holds over all its receivers.
func TestSenderStaysWithinRate(t *testing.T) {
	is := is.New(t)
	s := NewSender(100_000)
	s.AddSnapshot(snapshotOf(t, testConfig(2, 20000)))
	sent := 0
	for now := time.Duration(0); now < 10*time.Second; now += ms {
		p, err := s.Part(now, wire.ConfigPartRequest{Limit: 5000})
		is.NoErr(err)
		sent += len(p.Data)
	}
	is.True(sent <= 10*100_000+10_000)
	is.True(sent >= 9*100_000)
}
