package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/prefix"
)

// ranked is a target with its rendezvous weight for one key.
type ranked struct {
	index  int32
	weight uint64
}

// targetSeed returns the target's part of the rendezvous hash. It depends only on
// the name, so that every instance computes the same order at any time.
func targetSeed(name string) uint64 { return xxhash.Sum64String(name) }

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// topRanked appends to dst the limit targets with the highest weights among those
// that no filter rejects, in descending order. When a target leaves, only the keys
// for which it ranked highest move, each to its next target.
func topRanked(dst []ranked, key prefix.Hash, seeds []uint64, rejected []Rejection, limit int) []ranked {
	start := len(dst)
	for i, seed := range seeds {
		if rejected[i] != 0 {
			continue
		}
		w := mix(uint64(key) ^ seed)
		n := len(dst) - start
		if n == limit && w <= dst[len(dst)-1].weight {
			continue
		}
		if n < limit {
			dst = append(dst, ranked{})
		}
		insertRanked(dst[start:], ranked{index: int32(i), weight: w})
	}
	return dst
}

// topRankedWeighted is topRanked for targets with capacity weights, which are passed as
// their reciprocals: a target is first for a share of the keys in proportion to its weight.
// For a key, each target draws an exponentially distributed value whose rate is its weight,
// and the lowest value is first. When one weight changes, only keys of its target move;
// with equal weights the order is that of topRanked.
func topRankedWeighted(dst []ranked, key prefix.Hash, seeds []uint64, inverseWeights []float64, rejected []Rejection, limit int) []ranked {
	start := len(dst)
	worst := math.Inf(1)
	for i, seed := range seeds {
		if rejected[i] != 0 {
			continue
		}
		x := float64(int64(^mix(uint64(key)^seed)>>hashShift)) * hashUnit
		// As -ln(1-x) >= x, most targets are passed over without a logarithm.
		if x*inverseWeights[i] >= worst {
			continue
		}
		draw := -math.Log1p(-x) * inverseWeights[i]
		if draw >= worst {
			continue
		}
		if len(dst)-start < limit {
			dst = append(dst, ranked{})
		}
		// The bits of numbers that are not negative are in the order of the numbers.
		insertRanked(dst[start:], ranked{index: int32(i), weight: ^math.Float64bits(draw)})
		if len(dst)-start == limit {
			worst = math.Float64frombits(^dst[len(dst)-1].weight)
		}
	}
	return dst
}

const (
	// hashShift leaves as many bits of a hash as a float64 holds exactly, hashUnit scales
	// them to numbers from 0 up to 1.
	hashShift = 11
	hashUnit  = 1.0 / (1 << (64 - hashShift))
)

// insertRanked inserts r in order into list, whose last element is unused.
func insertRanked(list []ranked, r ranked) {
	at := len(list) - 1
	for at > 0 && list[at-1].weight < r.weight {
		list[at] = list[at-1]
		at--
	}
	list[at] = r
}

// RendezvousOrder returns the indexes of the usable targets in rendezvous order of
// the key. Decisions use a Picker; this is for tools and comparisons.
func RendezvousOrder(key prefix.Hash, names []string, usable []bool) []int {
	rejected := make([]Rejection, len(names))
	seeds := make([]uint64, len(names))
	for i, name := range names {
		seeds[i] = targetSeed(name)
		if !usable[i] {
			rejected[i] = 1
		}
	}
	ranked := topRanked(nil, key, seeds, rejected, len(names))
	order := make([]int, len(ranked))
	for i, r := range ranked {
		order[i] = int(r.index)
	}
	return order
}
