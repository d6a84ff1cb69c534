package crowd

import "time"

// Case is a crowd of callers that send requests with the given head.
type Case struct {
	Name    string
	Callers int
	Script  func(Head) Script
}

const (
	// BodyCallers send bodies, HeadCallers only heads or a few bytes of a body, and EndlessCallers bodies
	// far above any limit.
	BodyCallers, HeadCallers, EndlessCallers = 300, 1324, 100
	// FarAbove is the size of a body far above any limit, in bytes.
	FarAbove = 1 << 30
)

// WithBodies returns crowds that send bodies to a process with the given limit in bytes. The first
// ones are those that hold most memory.
func WithBodies(maxBody int64) []Case {
	return []Case{
		{"sized/one_byte_short", BodyCallers, send(Body{Announced: maxBody, Sent: maxBody - 1, Piece: 64 << 10})},
		{"sized/whole", BodyCallers, send(Body{Announced: maxBody, Sent: maxBody, Piece: 64 << 10})},
		{"sized/half_in_pieces", BodyCallers, send(Body{Announced: maxBody, Sent: maxBody / 2, Piece: 16 << 10, Pause: 20 * time.Millisecond})},
		{"sized/in_pieces_one_byte_short", BodyCallers, send(Body{Announced: maxBody, Sent: maxBody - 1, Piece: 32 << 10, Pause: 20 * time.Millisecond})},
		{"chunked/64_KiB_without_end", BodyCallers, send(Body{Announced: -1, Sent: maxBody - 1, Piece: 64 << 10})},
		{"chunked/64_KiB_whole", BodyCallers, send(Body{Announced: -1, Sent: maxBody, Piece: 64 << 10, Ended: true})},
		{"chunked/bytes_without_end", BodyCallers, func(h Head) Script { return ChunksOfOneByte(h, 256<<10) }},
		{"far_above_limit/announced", EndlessCallers, send(Body{Announced: FarAbove, Sent: FarAbove, Piece: 64 << 10})},
		{"far_above_limit/chunked", EndlessCallers, send(Body{Announced: -1, Sent: -1, Piece: 64 << 10})},
		{"announced_only", BodyCallers, send(Body{Announced: maxBody})},
		{"announced_only/small", BodyCallers, send(Body{Announced: 64 << 10, Sent: 1, Piece: 1})},
		{"slow/byte_of_small_body", HeadCallers, send(Body{Announced: 1000, Sent: 1, Piece: 1})},
		{"slow/byte_each_half_second", 500, send(Body{Announced: 1000, Sent: 1000, Piece: 1, Pause: 500 * time.Millisecond})},
		{"many_headers/within_limit", BodyCallers, manyHeaders(14 << 10)},
		{"many_headers/above_limit", BodyCallers, manyHeaders(60 << 10)},
		{"pipelined/responses_unread", BodyCallers, func(h Head) Script { return Unread(h("Content-Length: 4\r\n") + "body") }},
	}
}

func send(b Body) func(Head) Script {
	return func(h Head) Script { return Send(h, b) }
}

// manyHeaders returns a crowd whose heads have header lines of the given size together.
func manyHeaders(size int) func(Head) Script {
	lines := ManyHeaders(size)
	return func(h Head) Script {
		return Send(func(framing string) string { return h(lines + framing) }, Body{Announced: 1000, Sent: 999, Piece: 999})
	}
}
