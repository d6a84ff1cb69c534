package configvalidity

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/hubs"
)

func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		evidence Evidence
		want     Verdict
	}{
		"hears nothing":                    {want: Unconfirmed},
		"newer one known":                  {evidence: Evidence{NewerKnown: true, HearsFleet: true, StoreRefused: true}, want: Overdue},
		"newer one known, hears nothing":   {evidence: Evidence{NewerKnown: true}, want: Overdue},
		"hears its peers":                  {evidence: Evidence{HearsFleet: true}, want: Valid},
		"store answers with an error only": {evidence: Evidence{StoreRefused: true}, want: Valid},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(Judge(c.evidence), c.want) })
	}
	is.New(t).Equal(OverdueAge(2*time.Second), 1800*time.Millisecond)
}

// peer returns a peer of a failure domain.
func peer(domain, name string, capacity int, reporting bool) Peer {
	return Peer{Instance: hubs.Instance{Name: name, Domain: domain, Capacity: capacity}, Reporting: reporting}
}

func TestHears(t *testing.T) {
	for name, c := range map[string]struct {
		peers       []Peer
		unreachable map[string]bool
		want        bool
	}{
		"no peers":                           {want: true},
		"all report":                         {peers: []Peer{peer("d1", "a", 1, true), peer("d2", "b", 1, true)}, want: true},
		"none reports":                       {peers: []Peer{peer("d1", "a", 1, false), peer("d2", "b", 1, false)}},
		"half of the fleet reports":          {peers: []Peer{peer("d1", "a", 1, false), peer("d2", "b", 1, true)}, want: true},
		"the domain's first reports":         {peers: []Peer{peer("d1", "b", 2, true), peer("d1", "a", 1, false), peer("d1", "c", 1, false), peer("d2", "d", 1, false)}, want: true},
		"only small ones of the domain":      {peers: []Peer{peer("d1", "b", 2, false), peer("d1", "a", 1, true), peer("d1", "c", 1, false), peer("d2", "d", 1, false)}},
		"half of the domain reports":         {peers: []Peer{peer("d1", "b", 2, false), peer("d1", "a", 1, true), peer("d2", "d", 1, false)}, want: true},
		"another domain's share doesn't do":  {peers: []Peer{peer("d1", "a", 1, false), peer("d2", "b", 1, true), peer("d3", "c", 1, false)}},
		"alone, others unreachable":          {peers: []Peer{peer("d2", "b", 1, false), peer("d3", "c", 1, false)}, unreachable: map[string]bool{"d2": true, "d3": true}, want: true},
		"alone, some others reachable":       {peers: []Peer{peer("d2", "b", 1, false), peer("d3", "c", 1, false)}, unreachable: map[string]bool{"d2": true}},
		"partitioned, its own domain silent": {peers: []Peer{peer("d1", "a", 1, false), peer("d2", "b", 1, false)}, unreachable: map[string]bool{"d2": true}},
	} {
		t.Run(name, func(t *testing.T) {
			f := Fleet{Domain: "d1", Peers: c.peers, UnreachableDomains: c.unreachable}
			is.New(t).Equal(f.Hears(), c.want)
		})
	}
}
