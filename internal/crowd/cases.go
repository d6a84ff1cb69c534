package crowd

import (
	"fmt"
	"strings"
	"time"
)

// Case is a crowd of callers that send requests with the given head.
type Case struct {
	Name    string
	Callers int
	Script  func(Head) Script
}

const (
	// BodyCallers send bodies, HeadCallers only heads or a few bytes of a body, EndlessCallers bodies
	// far above any limit, and UnreadCallers read nothing.
	BodyCallers, HeadCallers, EndlessCallers, UnreadCallers = 300, 1324, 100, 100
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

// WithOddRequests returns crowds whose requests are framed oddly, or whose callers leave before the
// response, at a process with the given limit of bodies in bytes.
func WithOddRequests(maxBody int64) []Case {
	length := fmt.Sprintf("Content-Length: %d\r\n", maxBody)
	const chunked = "Transfer-Encoding: chunked\r\n"
	return []Case{
		{"half_closed/nothing", HeadCallers, func(h Head) Script { return HalfClosed(h(length)) }},
		{"half_closed/half", BodyCallers, func(h Head) Script { return HalfClosed(h(length) + strings.Repeat("x", int(maxBody/2))) }},
		{"expect", HeadCallers, func(h Head) Script { return Whole(h("Expect: 100-continue\r\n" + length)) }},
		{"left/body_whole", BodyCallers, func(h Head) Script { return Left(h, strings.Repeat("x", int(maxBody))) }},
		{"left/small_body", HeadCallers, func(h Head) Script { return Left(h, "body") }},
		{"chunked/long_extensions", BodyCallers, func(h Head) Script {
			return Whole(h(chunked) + strings.Repeat("1;"+strings.Repeat("e", 3000)+"\r\nx\r\n", int(maxBody/3000)))
		}},
		{"chunked/trailers_without_end", BodyCallers, func(h Head) Script {
			return Whole(h(chunked) + "1\r\nx\r\n0\r\n" + ManyHeaders(64<<10))
		}},
		{"pipelined/large_bodies", BodyCallers, func(h Head) Script { return Unread(h(length) + strings.Repeat("x", int(maxBody))) }},
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
