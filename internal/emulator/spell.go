package emulator

import (
	"math/rand/v2"
	"time"
)

// spells are the times in which an endpoint is slow: they start at random, at
// a mean distance, and last a fixed time. The same seed gives the same spells.
type spells struct {
	random *rand.Rand
	// every is the mean time from the end of one spell to the start of the
	// next; 0 means that there are none.
	every time.Duration
	last  time.Duration
	// start is when the current or next spell starts.
	start time.Time
}

func newSpells(seed uint64, every, last time.Duration, now time.Time) *spells {
	spells := &spells{random: rand.New(rand.NewPCG(seed, seed)), every: every, last: last}
	if every > 0 {
		spells.start = now.Add(spells.gap())
	}
	return spells
}

// slow reports whether a spell is on at now, which must not go back.
func (spells *spells) slow(now time.Time) bool {
	if spells.every <= 0 {
		return false
	}
	for !now.Before(spells.start.Add(spells.last)) {
		spells.start = spells.start.Add(spells.last + spells.gap())
	}
	return !now.Before(spells.start)
}

func (spells *spells) gap() time.Duration {
	return time.Duration(spells.random.ExpFloat64() * float64(spells.every))
}
