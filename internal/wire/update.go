package wire

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Updates have a hand-written codec: hubs encode and followers decode those of the
// whole fleet several times a second, and most fields are empty in most updates.

// Lengths of the encoded arrays.
const (
	updateFields = 10
	loadFields   = 4
	promptFields = 6
	// evidenceFields is the length of an event with outcomes, sampleFields the number of
	// items per sample in its flat array.
	evidenceFields = 2
	sampleFields   = 4
	// returnsFields is the length of an event with returning requests, returnFields the
	// number of items per request in its flat array.
	returnsFields = 1
	// crashFields is the length of an event with a crash: two numbers, and three that are not used,
	// as the length tells the kinds of events apart.
	crashFields  = 5
	returnFields = 2
	// streamsFields is the length of an event with streams that began.
	streamsFields = 3
	// pieceReportFields is the length of an event with evidence on pieces of prompts,
	// pieceValueFields the number of items per piece in its flat arrays.
	pieceReportFields = 4
	pieceValueFields  = 2
)

// optionalState holds the fields of InstanceState that are empty for most
// instances; it is encoded as nil if all are.
type optionalState struct {
	Leaving bool              `msgpack:"x,omitempty"`
	Cut     bool              `msgpack:"y,omitempty"`
	Stale   bool              `msgpack:"z,omitempty"`
	Orders  *OrderLeaseRecord `msgpack:"o,omitempty"`
	Loading []string          `msgpack:"l,omitempty"`
	Stores  []CacheStore      `msgpack:"k,omitempty"`
	Silent  []string          `msgpack:"q,omitempty"`
	Overdue map[string]int64  `msgpack:"d,omitempty"`
	Limits  []TargetLimit     `msgpack:"m,omitempty"`
	Rolls   []Rollout         `msgpack:"c,omitempty"`
	Blocked int               `msgpack:"p,omitempty"`
	Unreach int               `msgpack:"u,omitempty"`
	Demand  []AccountDemand   `msgpack:"n,omitempty"`
	Plain   map[string]int    `msgpack:"i,omitempty"`
	Rates   []TargetRate      `msgpack:"r,omitempty"`
	Slow    []string          `msgpack:"w,omitempty"`
	Claims  []MemoryClaim     `msgpack:"g,omitempty"`
	Pieces  []BlockedPiece    `msgpack:"b,omitempty"`
	Conns   int               `msgpack:"h,omitempty"`
}

func (s *InstanceState) optional() *optionalState {
	lists := len(s.LoadingTargets) + len(s.CacheStores) + len(s.SilentTargets) + len(s.OverdueInstances) + len(s.TargetLimits) + len(s.Rollouts) +
		len(s.Demand) + len(s.PlainLoads) + len(s.TargetRates) + len(s.SlowTargets) + len(s.MemoryClaims) + len(s.BlockedPieces)
	if !s.Leaving && !s.StoreUnreachable && !s.StoreContactStale && s.BlockedTargets+s.UnreachableTargets+s.NewConnections == 0 && s.OrderLease == nil && lists == 0 {
		return nil
	}
	return &optionalState{
		Leaving: s.Leaving, Cut: s.StoreUnreachable, Stale: s.StoreContactStale, Orders: s.OrderLease, Loading: s.LoadingTargets, Stores: s.CacheStores,
		Silent: s.SilentTargets, Overdue: s.OverdueInstances, Limits: s.TargetLimits, Rolls: s.Rollouts,
		Blocked: s.BlockedTargets, Unreach: s.UnreachableTargets,
		Demand: s.Demand, Plain: s.PlainLoads, Rates: s.TargetRates, Slow: s.SlowTargets, Claims: s.MemoryClaims, Pieces: s.BlockedPieces, Conns: s.NewConnections,
	}
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (u *InstanceUpdate) EncodeMsgpack(e *msgpack.Encoder) error {
	return errors.Wrap(firstError(
		e.EncodeArrayLen(updateFields),
		e.EncodeUint(u.Origin), e.EncodeUint(u.Seq), e.EncodeInt(u.AgeMillis),
		e.Encode(u.Identity),
		e.EncodeInt(int64(u.State.Capacity)), e.EncodeInt(u.State.ConfigVersion),
		encodeLoads(e, u.State.Loads),
		e.Encode(u.State.optional()),
		encodeSpent(e, u.Spent),
		encodeEvents(e, u.FirstEvent, u.Events),
	), "encode update")
}

func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// encodeLoads writes a flat array with loadFields items per target.
func encodeLoads(e *msgpack.Encoder, loads map[string]TargetLoad) error {
	err := e.EncodeArrayLen(loadFields * len(loads))
	for target, l := range loads {
		err = firstError(err, e.EncodeString(target), e.EncodeInt(int64(l.PendingPromptTokens)), e.EncodeInt(int64(l.KVCacheTokens)), e.EncodeInt(int64(l.Requests)))
	}
	return err
}

func encodeSpent(e *msgpack.Encoder, spent map[string]float64) error {
	err := e.EncodeMapLen(len(spent))
	for account, total := range spent {
		err = firstError(err, e.EncodeString(account), e.EncodeFloat64(total))
	}
	return err
}

// encodeEvents writes an array of the first event's number and the events. An
// event is an array for a prompt, outcomes, returning requests, streams or evidence on pieces, of
// different lengths, and an integer for a crash.
func encodeEvents(e *msgpack.Encoder, first uint64, events []InstanceEvent) error {
	err := firstError(e.EncodeArrayLen(1+len(events)), e.EncodeUint(first))
	for _, event := range events {
		if event.Evidence != nil {
			err = firstError(err, encodeEvidence(e, event.Evidence))
			continue
		}
		if len(event.Returns) > 0 {
			err = firstError(err, encodeReturns(e, event.Returns))
			continue
		}
		if s := event.Streams; s != nil {
			err = firstError(err, e.EncodeArrayLen(streamsFields), e.EncodeString(s.Service), e.EncodeString(s.Software), encodeNumbers(e, s.Streams))
			continue
		}
		if event.Pieces != nil {
			err = firstError(err, encodePieceReport(e, event.Pieces))
			continue
		}
		if event.Prompt == nil {
			err = firstError(err, e.EncodeArrayLen(crashFields), e.EncodeUint(event.CrashFingerprint), e.EncodeUint(event.CrashTarget), e.EncodeNil(), e.EncodeNil(), e.EncodeNil())
			continue
		}
		p := event.Prompt
		err = firstError(err, e.EncodeArrayLen(promptFields),
			e.EncodeString(p.Target), e.EncodeInt(p.Born), encodeNumbers(e, p.SharedPieces), e.EncodeInt(int64(p.CachedTokens)),
			e.EncodeString(p.CacheScope), encodeNumbers(e, p.SavedPieces))
	}
	return err
}

// encodeEvidence writes the revision and a flat array with sampleFields items per sample. The
// lowest bit of the third one is set for failures; the rest is the bucket.
func encodeEvidence(e *msgpack.Encoder, evidence *RolloutEvidence) error {
	numbers := make([]uint64, 0, sampleFields*len(evidence.Samples))
	for _, s := range evidence.Samples {
		code := uint64(s.Bucket) << 1
		if s.Failed {
			code |= 1
		}
		numbers = append(numbers, uint64(s.Route), uint64(s.Target), code, uint64(s.Count))
	}
	return firstError(e.EncodeArrayLen(evidenceFields), e.EncodeInt(evidence.Revision), encodeNumbers(e, numbers))
}

func encodeReturns(e *msgpack.Encoder, returns []ReturningRequest) error {
	numbers := make([]uint64, 0, returnFields*len(returns))
	for _, r := range returns {
		numbers = append(numbers, r.Fingerprint, r.AfterMillis)
	}
	return firstError(e.EncodeArrayLen(returnsFields), encodeNumbers(e, numbers))
}

func encodePieceReport(e *msgpack.Encoder, r *PieceReport) error {
	return firstError(e.EncodeArrayLen(pieceReportFields), e.EncodeUint(r.Target), e.EncodeUint(r.AgeMillis),
		encodePieceValues(e, r.Lost), encodePieceValues(e, r.Healthy))
}

func encodePieceValues(e *msgpack.Encoder, values []PieceValue) error {
	numbers := make([]uint64, 0, pieceValueFields*len(values))
	for _, v := range values {
		numbers = append(numbers, v.Piece, v.Value)
	}
	return encodeNumbers(e, numbers)
}

func encodeNumbers(e *msgpack.Encoder, numbers []uint64) error {
	err := e.EncodeArrayLen(len(numbers))
	for _, n := range numbers {
		err = firstError(err, e.EncodeUint(n))
	}
	return err
}

// updateReader decodes the fields of an update. After the first error, which it
// keeps, further reads return zero values.
type updateReader struct {
	d   *msgpack.Decoder
	err error
}

func readField[T any](r *updateReader, decode func() (T, error)) (out T) {
	if r.err == nil {
		out, r.err = decode()
	}
	return out
}

// length reads the length of an array or map. Each item takes at least one byte, so
// a length above MaxFrameBytes is malformed.
func (r *updateReader) length(decode func() (int, error)) int {
	n := readField(r, decode)
	if r.err == nil && n > MaxFrameBytes {
		r.err = errors.Wrapf(ErrFrameMalformed, "length %d", n)
	}
	if r.err != nil {
		return 0
	}
	return max(n, 0)
}

// maxPreallocated bounds the number of items for which memory is allocated before
// they are read.
const maxPreallocated = 64

// DecodeMsgpack implements msgpack.CustomDecoder.
func (u *InstanceUpdate) DecodeMsgpack(d *msgpack.Decoder) error {
	r := &updateReader{d: d}
	if n := r.length(d.DecodeArrayLen); r.err == nil && n != updateFields {
		return errors.Wrapf(ErrFrameMalformed, "update with %d fields", n)
	}
	u.Origin, u.Seq, u.AgeMillis = readField(r, d.DecodeUint64), readField(r, d.DecodeUint64), readField(r, d.DecodeInt64)
	u.Identity = decodePointer[Identity](r)
	u.State.Capacity, u.State.ConfigVersion = readField(r, d.DecodeInt), readField(r, d.DecodeInt64)
	u.State.Loads = r.loads()
	if s := decodePointer[optionalState](r); s != nil {
		u.State.Leaving, u.State.StoreUnreachable, u.State.StoreContactStale, u.State.OrderLease = s.Leaving, s.Cut, s.Stale, s.Orders
		u.State.LoadingTargets, u.State.CacheStores, u.State.SilentTargets, u.State.OverdueInstances = s.Loading, s.Stores, s.Silent, s.Overdue
		u.State.TargetLimits, u.State.Rollouts, u.State.BlockedTargets, u.State.UnreachableTargets = s.Limits, s.Rolls, s.Blocked, s.Unreach
		u.State.Demand, u.State.PlainLoads, u.State.TargetRates, u.State.SlowTargets = s.Demand, s.Plain, s.Rates, s.Slow
		u.State.MemoryClaims, u.State.BlockedPieces, u.State.NewConnections = s.Claims, s.Pieces, s.Conns
	}
	u.Spent = r.spent()
	u.FirstEvent, u.Events = r.events()
	return errors.Wrap(r.err, "decode update")
}

// decodePointer decodes a value or nil.
func decodePointer[T any](r *updateReader) *T {
	if r.err != nil {
		return nil
	}
	code, err := r.d.PeekCode()
	if err != nil {
		r.err = err
		return nil
	}
	const nilCode = 0xc0
	if code == nilCode {
		r.err = r.d.DecodeNil()
		return nil
	}
	out := new(T)
	r.err = r.d.Decode(out)
	return out
}

func (r *updateReader) loads() map[string]TargetLoad {
	n := r.length(r.d.DecodeArrayLen) / loadFields
	if n == 0 {
		return nil
	}
	out := make(map[string]TargetLoad, min(n, maxPreallocated))
	for range n {
		target := readField(r, r.d.DecodeString)
		l := TargetLoad{PendingPromptTokens: readField(r, r.d.DecodeInt), KVCacheTokens: readField(r, r.d.DecodeInt), Requests: readField(r, r.d.DecodeInt)}
		if r.err != nil {
			return nil
		}
		out[target] = l
	}
	return out
}

func (r *updateReader) spent() map[string]float64 {
	n := r.length(r.d.DecodeMapLen)
	if n == 0 {
		return nil
	}
	out := make(map[string]float64, min(n, maxPreallocated))
	for range n {
		account := readField(r, r.d.DecodeString)
		total := readField(r, r.d.DecodeFloat64)
		if r.err != nil {
			return nil
		}
		out[account] = total
	}
	return out
}

func (r *updateReader) events() (first uint64, out []InstanceEvent) {
	n := r.length(r.d.DecodeArrayLen) - 1
	first = readField(r, r.d.DecodeUint64)
	for i := 0; i < n && r.err == nil; i++ {
		out = append(out, r.event())
	}
	return first, out
}

// skip reads n values that are not used.
func (r *updateReader) skip(n int) {
	for i := 0; i < n && r.err == nil; i++ {
		r.err = r.d.Skip()
	}
}

func (r *updateReader) event() InstanceEvent {
	switch n := r.length(r.d.DecodeArrayLen); {
	case r.err != nil:
		return InstanceEvent{}
	case n == crashFields:
		e := InstanceEvent{CrashFingerprint: readField(r, r.d.DecodeUint64), CrashTarget: readField(r, r.d.DecodeUint64)}
		r.skip(crashFields - 2)
		return e
	case n == returnsFields:
		return InstanceEvent{Returns: r.returns()}
	case n == evidenceFields:
		return InstanceEvent{Evidence: r.evidence()}
	case n == streamsFields:
		return InstanceEvent{Streams: &BegunStreams{
			Service: readField(r, r.d.DecodeString), Software: readField(r, r.d.DecodeString), Streams: r.numbers(),
		}}
	case n == pieceReportFields:
		return InstanceEvent{Pieces: &PieceReport{
			Target: readField(r, r.d.DecodeUint64), AgeMillis: readField(r, r.d.DecodeUint64), Lost: r.pieceValues(), Healthy: r.pieceValues(),
		}}
	case n != promptFields:
		r.err = errors.Wrapf(ErrFrameMalformed, "event with %d fields", n)
		return InstanceEvent{}
	}
	return InstanceEvent{Prompt: &PrefilledPrompt{
		Target: readField(r, r.d.DecodeString), Born: readField(r, r.d.DecodeInt64), SharedPieces: r.numbers(), CachedTokens: readField(r, r.d.DecodeInt),
		CacheScope: readField(r, r.d.DecodeString), SavedPieces: r.numbers(),
	}}
}

func (r *updateReader) evidence() *RolloutEvidence {
	out := &RolloutEvidence{Revision: readField(r, r.d.DecodeInt64)}
	numbers := r.numbers()
	for ; len(numbers) >= sampleFields; numbers = numbers[sampleFields:] {
		out.Samples = append(out.Samples, RolloutSample{
			Route: uint32(numbers[0]), Target: uint32(numbers[1]), Failed: numbers[2]&1 == 1, Bucket: uint8(numbers[2] >> 1), Count: uint32(numbers[3]),
		})
	}
	return out
}

func (r *updateReader) pieceValues() []PieceValue {
	var out []PieceValue
	for numbers := r.numbers(); len(numbers) >= pieceValueFields; numbers = numbers[pieceValueFields:] {
		out = append(out, PieceValue{Piece: numbers[0], Value: numbers[1]})
	}
	return out
}

func (r *updateReader) returns() []ReturningRequest {
	var out []ReturningRequest
	for numbers := r.numbers(); len(numbers) >= returnFields; numbers = numbers[returnFields:] {
		out = append(out, ReturningRequest{Fingerprint: numbers[0], AfterMillis: numbers[1]})
	}
	return out
}

func (r *updateReader) numbers() []uint64 {
	n := r.length(r.d.DecodeArrayLen)
	if n == 0 {
		return nil
	}
	out := make([]uint64, 0, min(n, maxPreallocated))
	for i := 0; i < n && r.err == nil; i++ {
		out = append(out, readField(r, r.d.DecodeUint64))
	}
	return out
}
