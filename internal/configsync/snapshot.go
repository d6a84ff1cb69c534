package configsync

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/wire"
)

// Snapshot is a configuration with the digests of its items.
type Snapshot struct {
	Config *routing.Config
	Ref    wire.ConfigRef

	routes   []uint64
	services []uint64
	accounts []uint64
}

// emptySnapshot is the base of a complete encoding.
var emptySnapshot = &Snapshot{Config: &routing.Config{}}

// NewSnapshot computes the digests of a configuration, which must not be modified
// afterwards.
func NewSnapshot(c *routing.Config) (*Snapshot, error) {
	s := &Snapshot{Config: c}
	var err error
	if s.routes, err = digests(c.Routes); err != nil {
		return nil, err
	}
	if s.services, err = digests(c.Services); err != nil {
		return nil, err
	}
	if s.accounts, err = digests(c.Accounts); err != nil {
		return nil, err
	}
	return s, s.computeRef()
}

// computeRef sets Ref from the content of the snapshot.
func (s *Snapshot) computeRef() error {
	limits, err := digest(s.Config.Limits)
	if err != nil {
		return err
	}
	lists := [][]uint64{{uint64(s.Config.Version), limits}, s.routes, s.services, s.accounts}
	if s.Config.KeysRequired && len(s.accounts) == 0 {
		// Other digests stay as instances with an older version of the program compute them.
		lists = append(lists, []uint64{1})
	}
	h := xxhash.New()
	for _, list := range lists {
		// The lengths separate the lists: moving an item between two of them must
		// change the digest.
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(list))))
		for _, d := range list {
			_, _ = h.Write(binary.BigEndian.AppendUint64(nil, d))
		}
	}
	s.Ref = wire.ConfigRef{Version: s.Config.Version, Digest: h.Sum64()}
	return nil
}

func digests[T any](items []T) ([]uint64, error) {
	out := make([]uint64, len(items))
	for i := range items {
		var err error
		if out[i], err = digest(&items[i]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func digest(item any) (uint64, error) {
	raw, err := msgpack.Marshal(item)
	return xxhash.Sum64(raw), errors.Wrap(err, "encode configuration item for its digest")
}
