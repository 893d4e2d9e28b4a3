package sharer

import (
	"fmt"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

const (
	run      = 400 * time.Millisecond
	pressure = 0.9
)

func claimOf(index, rank int, quota float64) Claim {
	return NewClaim(definer.NewAccount(fmt.Sprint("a", index), rank).WithQuota(quota, 0), -rank, false, time.Second, run)
}

// overload records 30 s in which each of 74 accounts asks for one request in 4 s, and
// account 0 for 7.5 times as many; every second request is served.
func overload(sharer *Sharer, quota float64) time.Time {
	now := time.Unix(1, 0)
	for step := range 600 {
		now = now.Add(50 * time.Millisecond)
		claim := claimOf(1+step%73, 0, quota)
		if step%11 == 0 {
			claim = claimOf(0, 0, quota*7.5)
		}
		sharer.RecordArrival(now, "s", claim)
		if step%2 == 0 {
			sharer.RecordUse(now, "s", claim)
			sharer.RecordServed(now, "s", claim)
		} else {
			sharer.RecordRejected(now, "s", claim)
		}
	}
	return now
}

// TestStanding checks the order of accounts in an overload in which account 0 sends 7.5
// times its usual, and guards against holding back every request of an account of a low rank.
func TestStanding(t *testing.T) {
	for _, test := range []struct {
		name, want      string
		quota, pressure float64
		account, rank   int
		rejections      int
	}{
		{"above its share", "held back, account above its fair share", 0, pressure, 0, 0, 0},
		{"at its share", "normal", 0, pressure, 5, 0, 0},
		{"within its quota", "normal", 1, pressure, 0, 0, 0},
		{"without pressure", "normal", 0, 0.1, 0, 0, 0},
		{"low rank", "held back", 0, pressure, 99, 3, 0},
		{"low rank, rejected three times", "account seldom served", 0, pressure, 99, 3, 3},
	} {
		sharer, claim := new(Sharer), claimOf(test.account, test.rank, test.quota)
		if test.account == 0 {
			claim = claimOf(0, test.rank, test.quota*7.5)
		}
		now := overload(sharer, test.quota)
		for range test.rejections {
			sharer.RecordArrival(now, "s", claim)
			sharer.RecordRejected(now, "s", claim)
		}
		if standing := sharer.Standing(now, "s", test.pressure, claim); standing.String() != test.want {
			t.Errorf("%s: the standing is %q, want %q", test.name, standing, test.want)
		}
	}
}

// TestRetryAfter guards against delays that callers ignore, and against delays after which
// an answer is late though an earlier return was possible.
func TestRetryAfter(t *testing.T) {
	for _, test := range []struct{ timeLeft, callerLeft, least, most time.Duration }{
		{1500 * time.Millisecond, 4 * time.Second, 100 * time.Millisecond, 346 * time.Millisecond},
		{1500 * time.Millisecond, 900 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond},
		{-time.Second, 300 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond},
	} {
		least, most := RetryAfter(0, test.timeLeft, test.callerLeft, run), RetryAfter(1, test.timeLeft, test.callerLeft, run)
		if least != test.least || most.Truncate(time.Millisecond) != test.most {
			t.Errorf("with %v and %v left the delay is from %v to %v, want from %v to %v", test.timeLeft, test.callerLeft, least, most, test.least, test.most)
		}
	}
}

// TestSilenceLimit checks that the limit follows the learned runs, and that it leaves enough
// time for a repeat.
func TestSilenceLimit(t *testing.T) {
	for _, test := range []struct{ slowdown, left, least, most time.Duration }{
		{1, time.Minute, 2 * run, 4 * run},
		{12, time.Minute, 6 * run, 10 * run},
		{12, 8 * run, 2 * run, 4 * run},
	} {
		var tail Tail
		for index := range 1000 {
			if tail.Record(run, run); index%30 == 0 {
				tail.Record(test.slowdown*run, run)
			}
		}
		if limit := tail.SilenceLimit(run, test.left); limit < test.least || limit > test.most {
			t.Errorf("with some runs %d times as long and %v left, the limit is %v, want %v to %v", test.slowdown, test.left, limit, test.least, test.most)
		}
	}
}

// BenchmarkStanding measures a decision with 74 accounts in use; it must not allocate.
func BenchmarkStanding(b *testing.B) {
	sharer, claims := new(Sharer), make([]Claim, 74)
	now := overload(sharer, 0)
	for index := range claims {
		claims[index] = claimOf(index, index%4, 0)
	}
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		now = now.Add(time.Millisecond)
		sharer.RecordArrival(now, "s", claims[index%len(claims)])
		sharer.Standing(now, "s", pressure, claims[index%len(claims)])
		sharer.RecordUse(now, "s", claims[index%len(claims)])
	}
}
