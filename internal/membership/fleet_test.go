package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/propertytest"
	"github.com/mastictray/mastictray/internal/wire"
)

func TestMain(m *testing.M) { propertytest.Main(m, 100) }

const (
	tickInterval = 50 * time.Millisecond
	listLag      = 500 * time.Millisecond
)

type node struct {
	view      *View
	id        wire.Identity
	up        bool
	suspended bool
	// listUnavailable makes reads of the platform's list fail.
	listUnavailable bool
	// group is its side of a network partition.
	group int
}

type packet struct {
	from int
	Message
}

// fleet simulates views that exchange messages.
type fleet struct {
	rng            *rand.Rand
	now            time.Duration
	nodes          []*node
	indexByAddress map[string]int
	inFlight       []packet
	// listHistory has the platform's lists of the last ticks, oldest first.
	listHistory  []platform.InstanceList
	list         platform.InstanceList
	lossRate     float64
	byteCount    int64
	messageCount int64
	countBytes   bool
	starts       int
}

func newFleet(n, targets int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), indexByAddress: map[string]int{}}
	for i := range targets {
		f.list.Instances = append(f.list.Instances, platform.Instance{
			ID: fmt.Sprint("t", i), Role: platform.RoleTarget, State: platform.StateLive,
		})
	}
	for i := range n {
		addr := fmt.Sprint("10.0.0.", i)
		f.list.Instances = append(f.list.Instances, platform.Instance{
			ID: fmt.Sprint("e", i), Address: addr, Role: platform.RoleEntry, State: platform.StateLive,
		})
		f.indexByAddress[addr] = i
		f.nodes = append(f.nodes, &node{})
	}
	for i := range n {
		f.start(i, 1000)
	}
	return f
}

func (f *fleet) start(i int, startMillis int64) {
	f.starts++
	n := f.nodes[i]
	n.id = wire.Identity{Instance: fmt.Sprint("e", i), Incarnation: fmt.Sprint("i", f.starts), Address: fmt.Sprint("10.0.0.", i)}
	cfg := Config{Self: n.id, StartMillis: startMillis, Seeds: []string{"10.0.0.0", "10.0.0.1"}}
	n.view, n.up = New(cfg, rand.New(rand.NewPCG(uint64(f.starts), 2))), true
}

// currentList returns a copy of the platform's current list.
func (f *fleet) currentList() platform.InstanceList {
	l := platform.InstanceList{AsOf: time.UnixMilli(f.now.Milliseconds() + 1)}
	l.Instances = append(l.Instances, f.list.Instances...)
	return l
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += tickInterval {
		f.listHistory = append(f.listHistory, f.currentList())
		if lag := int(listLag / tickInterval); len(f.listHistory) > lag+1 {
			f.listHistory = f.listHistory[1:]
		}
		packets := f.inFlight
		f.inFlight = nil
		for _, p := range packets {
			f.deliver(p)
		}
		for i, n := range f.nodes {
			if n.up && !n.suspended {
				n.view.Tick(f.now)
				f.collectReady(i)
			}
		}
	}
}

func (f *fleet) deliver(p packet) {
	to, from := f.nodes[f.indexByAddress[p.To]], f.nodes[p.from]
	if !to.up || to.suspended || to.group != from.group || f.rng.Float64() < f.lossRate {
		return
	}
	to.view.Receive(f.now, p.Kind, p.Body)
	f.collectReady(f.indexByAddress[p.To])
}

func (f *fleet) collectReady(i int) {
	n := f.nodes[i]
	out := n.view.Ready()
	for _, m := range out.Messages {
		if f.countBytes {
			frame, _ := wire.NewFrame(0, m.Kind, m.Body)
			raw, _ := wire.Append(nil, frame)
			f.byteCount += int64(len(raw))
			f.messageCount++
		}
		f.inFlight = append(f.inFlight, packet{from: i, Message: m})
	}
	if !out.ReadList {
		return
	}
	if n.listUnavailable {
		n.view.HandleListError(f.now)
	} else {
		l := f.listHistory[0]
		n.view.HandleList(f.now, f.now, l, 100*len(l.Instances))
	}
	f.collectReady(i)
}

func (f *fleet) markLeaving(target string) {
	for i := range f.list.Instances {
		if f.list.Instances[i].ID == target {
			f.list.Instances[i].State = platform.StateLeaving
		}
	}
}

// checkAgreement returns an error for the first running instance whose members are not
// exactly the running instances of its group.
func (f *fleet) checkAgreement() error {
	for i, n := range f.nodes {
		if !n.up || n.suspended {
			continue
		}
		want := 0
		for _, o := range f.nodes {
			if o.up && !o.suspended && o.group == n.group {
				want++
			}
		}
		got := n.view.Members()
		if len(got) != want {
			return fmt.Errorf("instance %d sees %d members, want %d", i, len(got), want)
		}
		for _, m := range got {
			if o := f.nodes[f.indexByAddress[m.Identity.Address]]; o.id != m.Identity {
				return fmt.Errorf("instance %d sees %v, the running process is %v", i, m.Identity, o.id)
			}
		}
	}
	return nil
}
