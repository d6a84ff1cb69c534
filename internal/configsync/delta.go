package configsync

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/wire"
)

// Errors of Apply.
var (
	// ErrBaseMismatch: the encoding builds on another configuration.
	ErrBaseMismatch = errors.New("configsync: builds on another configuration")
	// ErrDigestMismatch: the result is not what the sender has.
	ErrDigestMismatch = errors.New("configsync: digest does not match")
	// ErrTooLarge: the encoding expands to more than maxDeltaBytes.
	ErrTooLarge = errors.New("configsync: too large")
)

// maxDeltaBytes bounds what an encoding may expand to.
const maxDeltaBytes = 64 << 20

// delta is what a configuration differs by from its base.
type delta struct {
	Base, Target wire.ConfigRef
	Limits       routing.Limits
	Routes       []edit[routing.Route]
	Services     []edit[routing.Service]
	Accounts     []edit[routing.Account]
}

// edit is a run of a list: items of the base, then new ones.
type edit[T any] struct {
	From, Count int
	Items       []T
}

// encode writes what next differs by from base.
func encode(base, next *Snapshot) ([]byte, error) {
	d := delta{
		Base: base.Ref, Target: next.Ref, Limits: next.Config.Limits,
		Routes:   diff(base.routes, next.routes, next.Config.Routes),
		Services: diff(base.services, next.services, next.Config.Services),
		Accounts: diff(base.accounts, next.accounts, next.Config.Accounts),
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if err := msgpack.NewEncoder(w).Encode(&d); err != nil {
		return nil, errors.Wrapf(err, "encode configuration version=%d", next.Ref.Version)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	return out.Bytes(), nil
}

// diff lists the runs of next by the items' digests.
func diff[T any](base, next []uint64, items []T) []edit[T] {
	at := make(map[uint64]int, len(base))
	for i, d := range base {
		at[d] = i
	}
	var out []edit[T]
	for i, d := range next {
		from, known := at[d]
		last := len(out) - 1
		switch {
		case !known && last < 0:
			out = append(out, edit[T]{Items: items[i : i+1]})
		case !known:
			e := &out[last]
			e.Items = items[i-len(e.Items) : i+1]
		case last >= 0 && len(out[last].Items) == 0 && out[last].From+out[last].Count == from:
			out[last].Count++
		default:
			out = append(out, edit[T]{From: from, Count: 1})
		}
	}
	return out
}

// Apply builds a configuration from an encoding and the one that is here, which may
// be nil.
func Apply(have *Snapshot, raw []byte) (*Snapshot, error) {
	d, err := decode(raw)
	if err != nil {
		return nil, err
	}
	base := empty
	if d.Base != empty.Ref {
		base = have
	}
	if base == nil || d.Base != base.Ref {
		return nil, errors.Wrapf(ErrBaseMismatch, "version=%d", d.Base.Version)
	}
	s := &Snapshot{Config: &routing.Config{Version: d.Target.Version, Limits: d.Limits}}
	if s.Config.Routes, s.routes, err = patch(base.Config.Routes, base.routes, d.Routes); err != nil {
		return nil, err
	}
	if s.Config.Services, s.services, err = patch(base.Config.Services, base.services, d.Services); err != nil {
		return nil, err
	}
	if s.Config.Accounts, s.accounts, err = patch(base.Config.Accounts, base.accounts, d.Accounts); err != nil {
		return nil, err
	}
	if err := s.seal(); err != nil {
		return nil, err
	}
	if s.Ref != d.Target {
		return nil, errors.Wrapf(ErrDigestMismatch, "version=%d", d.Target.Version)
	}
	return s, nil
}

func decode(raw []byte) (*delta, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(raw)), maxDeltaBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "expand configuration")
	}
	if len(content) > maxDeltaBytes {
		return nil, ErrTooLarge
	}
	var d delta
	return &d, errors.Wrap(msgpack.Unmarshal(content, &d), "decode configuration")
}

// patch makes a list and its digests from runs.
func patch[T any](base []T, known []uint64, edits []edit[T]) (items []T, sums []uint64, err error) {
	for _, e := range edits {
		if e.From < 0 || e.Count < 0 || e.From > len(base)-e.Count {
			return nil, nil, errors.Wrapf(ErrBaseMismatch, "items %d to %d of %d", e.From, e.From+e.Count, len(base))
		}
		items = append(append(items, base[e.From:e.From+e.Count]...), e.Items...)
		added, err := digests(e.Items)
		if err != nil {
			return nil, nil, err
		}
		sums = append(append(sums, known[e.From:e.From+e.Count]...), added...)
	}
	return items, sums, nil
}
