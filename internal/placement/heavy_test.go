package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func newHeavyFixture(n int) *fixture {
	f := newFixture(n)
	o := DefaultOptions()
	o.HeavyTokens, o.HeavyPenalty = 8000, 100*time.Millisecond
	o.HomeTrust, o.UnseenTrust = 0, 0
	f.picker = NewPicker(f.pool, f.index, o)
	return f
}

func ownTokens(key uint64, tokens int) *Request {
	r := request(key, 2)
	r.PromptTokens = 2*testPieceTokens + tokens
	return r
}

// A caller asks a short question and waits a second for its first word: the
// question came to a target that was reading a dossier of 50,000 tokens, and
// targets read in the order of arrival. Kept apart, no light prompt stands
// behind a heavy one while its own targets have room.
func TestHeavyPromptsKeepToTheirTargets(t *testing.T) {
	is := is.New(t)
	f := newHeavyFixture(10)
	heavy, light := map[int]bool{}, map[int]bool{}
	for key := range uint64(200) {
		heavy[f.pick(t, ownTokens(key, 20000)).Index] = true
		light[f.pick(t, ownTokens(key, 500)).Index] = true
	}
	is.Equal(len(heavy), 4)
	is.Equal(len(light), 6)
	for i := range heavy {
		is.True(!light[i])
	}
}

// All targets for light prompts have a queue: a light prompt goes to an idle
// target for heavy ones rather than wait for longer than the penalty.
func TestLightPromptsSpillOver(t *testing.T) {
	is := is.New(t)
	f := newHeavyFixture(10)
	f.pick(t, ownTokens(1, 500)) // divides the targets
	for i := range f.pool.Len() {
		if target := f.pool.Target(i); !target.takesHeavy {
			target.Load.Sent(0, 5000)
		}
	}
	is.True(f.pool.Target(f.pick(t, ownTokens(1, 500)).Index).takesHeavy)
}

// Targets crash until three are left. The division ends, and each of them
// takes both kinds: one alone for heavy prompts would be a queue.
func TestFewTargetsAreNotDivided(t *testing.T) {
	is := is.New(t)
	f := newHeavyFixture(10)
	f.pick(t, ownTokens(1, 500))
	for i := range 7 {
		f.pool.Target(i).BreakerOpen = true
		f.pool.Changed(i)
	}
	used := map[int]bool{}
	for key := range uint64(100) {
		used[f.pick(t, ownTokens(key, 20000)).Index] = true
	}
	is.Equal(len(used), 3)
}

// Sixty instances hear of each other's work three times a second. Two targets
// differ by one short prompt, as known a moment ago: all would send to the
// other one at once. Within the slack the prompt stays where it is cached.
func TestSmallQueuesAreNotCounted(t *testing.T) {
	is := is.New(t)
	target := testTargets(1)[0]
	target.Load.Sent(0, 500) // 50 ms
	r := request(1, 1)
	s := queueScorer{slack: 60 * time.Millisecond}
	is.Equal(s.Cost(0, r, &target, &Candidate{}), time.Duration(0))
	target.Load.Sent(0, 500)
	is.Equal(s.Cost(0, r, &target, &Candidate{}), 40*time.Millisecond)
}
