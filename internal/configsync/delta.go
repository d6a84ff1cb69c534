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
	// ErrBaseMismatch: the receiver does not have the base of the delta.
	ErrBaseMismatch = errors.New("configsync: delta is from another configuration")
	// ErrDigestMismatch: the result differs from the sender's configuration.
	ErrDigestMismatch = errors.New("configsync: digest does not match")
	// ErrTooLarge: the encoding decompresses to more than maxDeltaBytes.
	ErrTooLarge = errors.New("configsync: delta too large")
)

// maxDeltaBytes is the maximum size of a decompressed delta.
const maxDeltaBytes = 64 << 20

// delta is the difference between a configuration and its base. It is encoded under the
// names of its fields.
type delta struct {
	Base, Target wire.ConfigRef
	Limits       routing.Limits
	Routes       []segment[routing.Route]
	Services     []segment[routing.Service]
	Accounts     []segment[routing.Account]
	KeysRequired bool
}

// segment is a part of a list: a run of Count items of the base, then new items. It is
// encoded under the names of its fields.
type segment[T any] struct {
	From, Count int
	Items       []T
}

// encodeDelta encodes and compresses the difference between base and next.
func encodeDelta(base, next *Snapshot) ([]byte, error) {
	d := delta{
		Base: base.Ref, Target: next.Ref, Limits: next.Config.Limits, KeysRequired: next.Config.KeysRequired,
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

// diff returns the segments that make up a list. base and next are the digests of the
// items of both lists, items those of the new one.
func diff[T any](base, next []uint64, items []T) []segment[T] {
	baseIndex := make(map[uint64]int, len(base))
	for i, d := range base {
		baseIndex[d] = i
	}
	var out []segment[T]
	for i, d := range next {
		from, inBase := baseIndex[d]
		last := len(out) - 1
		switch {
		case !inBase && last < 0:
			out = append(out, segment[T]{Items: items[i : i+1]})
		case !inBase:
			s := &out[last]
			s.Items = items[i-len(s.Items) : i+1]
		case last >= 0 && len(out[last].Items) == 0 && out[last].From+out[last].Count == from:
			out[last].Count++
		default:
			out = append(out, segment[T]{From: from, Count: 1})
		}
	}
	return out
}

// Apply decodes a configuration. current is the receiver's configuration, nil for
// none; the encoding must be complete or a delta from it.
func Apply(current *Snapshot, raw []byte) (*Snapshot, error) {
	d, err := decodeDelta(raw)
	if err != nil {
		return nil, err
	}
	base := emptySnapshot
	if d.Base != emptySnapshot.Ref {
		base = current
	}
	if base == nil || d.Base != base.Ref {
		return nil, errors.Wrapf(ErrBaseMismatch, "version=%d", d.Base.Version)
	}
	s := &Snapshot{Config: &routing.Config{Version: d.Target.Version, Limits: d.Limits, KeysRequired: d.KeysRequired}}
	if s.Config.Routes, s.routes, err = applySegments(base.Config.Routes, base.routes, d.Routes); err != nil {
		return nil, err
	}
	if s.Config.Services, s.services, err = applySegments(base.Config.Services, base.services, d.Services); err != nil {
		return nil, err
	}
	if s.Config.Accounts, s.accounts, err = applySegments(base.Config.Accounts, base.accounts, d.Accounts); err != nil {
		return nil, err
	}
	if err := s.computeRef(); err != nil {
		return nil, err
	}
	if s.Ref != d.Target {
		return nil, errors.Wrapf(ErrDigestMismatch, "version=%d", d.Target.Version)
	}
	return s, nil
}

func decodeDelta(raw []byte) (*delta, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(raw)), maxDeltaBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration delta")
	}
	if len(content) > maxDeltaBytes {
		return nil, ErrTooLarge
	}
	var d delta
	return &d, errors.Wrap(msgpack.Unmarshal(content, &d), "decode configuration delta")
}

// applySegments returns the list described by segments and the digests of its items.
func applySegments[T any](base []T, baseDigests []uint64, segments []segment[T]) (items []T, sums []uint64, err error) {
	for _, s := range segments {
		if s.From < 0 || s.Count < 0 || s.From > len(base)-s.Count {
			return nil, nil, errors.Wrapf(ErrBaseMismatch, "items %d to %d of %d", s.From, s.From+s.Count, len(base))
		}
		items = append(append(items, base[s.From:s.From+s.Count]...), s.Items...)
		added, err := digests(s.Items)
		if err != nil {
			return nil, nil, err
		}
		sums = append(append(sums, baseDigests[s.From:s.From+s.Count]...), added...)
	}
	return items, sums, nil
}
