package configvalidity

import "github.com/mastictray/mastictray/internal/hubs"

// Peer is another instance as this one sees it.
type Peer struct {
	hubs.Instance
	// Reporting is set if there is a recent update of the peer, InContact if the peer's last
	// contact with the store was recent according to its last update.
	Reporting, InContact bool
}

// Fleet is the state of the peers as seen by one instance.
type Fleet struct {
	// Domain is the instance's own failure domain.
	Domain string
	// Peers are all other instances that may be alive, including those that have been
	// removed for their silence during the loss of contact with the store.
	Peers []Peer
	// UnreachableDomains are the failure domains whose targets the instance can't reach.
	UnreachableDomains map[string]bool
}

// Hears reports whether the instance hears enough of the fleet to learn of a newer
// configuration that it could get. It must not depend on a few peers that may be as
// overloaded as the instance itself, nor on peers behind a partition.
func (f *Fleet) Hears() bool {
	var first *Peer
	partitioned := true
	for i := range f.Peers {
		p := &f.Peers[i]
		if p.Domain != f.Domain {
			partitioned = partitioned && f.UnreachableDomains[p.Domain]
		} else if first == nil || hubs.Compare(p.Instance, first.Instance) < 0 {
			first = p
		}
	}
	all, domain := f.Shares()
	switch {
	case all.atLeastHalf():
		return true
	case first == nil:
		return partitioned // alone on its side of a partition
	}
	// The first instance of a domain is the one that reads the store if others fail to.
	return first.Reporting || domain.atLeastHalf()
}

// Shares returns the shares of all peers and of those in the own failure domain that report.
func (f *Fleet) Shares() (all, domain Share) {
	for i := range f.Peers {
		p := &f.Peers[i]
		all.add(p)
		if p.Domain == f.Domain {
			domain.add(p)
		}
	}
	return all, domain
}

// Share counts peers, those of them that report, and those that report a recent contact with
// the store.
type Share struct{ Total, Reporting, InContact int }

func (s *Share) add(p *Peer) {
	s.Total++
	if p.Reporting {
		s.Reporting++
		if p.InContact {
			s.InContact++
		}
	}
}

func (s *Share) atLeastHalf() bool { return 2*s.Reporting >= s.Total }
