package throttler

import (
	"fmt"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/locator"
)

// allowed is the number of requests that requirement 2 allows in a window.
func allowed(account *definer.Account) int {
	return int((account.Rate()*window.Seconds()+account.Burst())*1.1 + 20)
}

// disturb causes one random fault or ends one.
func (fleet *fleet) disturb() {
	node := fleet.nodes[fleet.random.IntN(len(fleet.nodes))]
	names := []string{""}
	for _, node := range fleet.nodes {
		names = append(names, node.host.Name())
	}
	switch fleet.random.IntN(10) {
	case 0, 1: // Two groups, one of which has the store; in one direction now and then.
		side := make(map[string]bool)
		for _, name := range names {
			side[name] = fleet.random.IntN(2) == 0
		}
		oneWay := fleet.random.IntN(4) == 0
		for _, from := range names {
			for _, to := range names {
				if side[from] != side[to] && (!oneWay || side[from]) {
					fleet.cut[[2]string{from, to}] = true
				}
			}
		}
	case 2: // The store refuses some hosts, or all.
		for _, name := range names {
			if fleet.random.IntN(2) == 0 {
				fleet.cut[[2]string{name, ""}] = true
			}
		}
	case 3, 4, 5:
		clear(fleet.cut)
	case 6, 7:
		if !node.dead {
			node.dead, node.startAt = true, fleet.now.Add(fleet.span(500*time.Millisecond, 12*time.Second))
		}
	case 8:
		node.resumeAt = fleet.now.Add(fleet.span(100*time.Millisecond, 12*time.Second))
	case 9:
		if len(fleet.nodes) < 14 {
			fleet.add(0)
		}
		if fleet.random.IntN(4) == 0 { // All hosts restart.
			for _, node := range fleet.nodes {
				node.dead, node.startAt = true, fleet.now.Add(fleet.span(500*time.Millisecond, 8*time.Second))
			}
		}
	}
}

// TestBoundUnderFaults runs random schedules of faults. It guards against two hosts that
// grant the permits of one share, and against permits that outlive a restart, a suspension
// or a message.
func TestBoundUnderFaults(t *testing.T) {
	seeds := uint64(40)
	if testing.Short() {
		seeds = 10
	}
	worst := 0.0
	for seed := range seeds {
		account := definer.NewAccount("a", 0).WithQuota(40, 30)
		if seed%3 == 0 {
			account = account.WithQuota(3, 1)
		}
		regions := 1 + int(seed%4)
		fleet := newFleet(seed, 9, regions, max(regions, 4), account)
		higher, lowered, bindingAt := account, time.Time{}, time.Time{}
		fault := fleet.now.Add(fleet.span(time.Second, 12*time.Second))
		for fleet.now.Sub(time.Unix(0, 0)) < 90*time.Second {
			fleet.step(3 * higher.Rate())
			if fleet.now.After(fault) {
				fleet.disturb()
				fleet.loss, fleet.double = fleet.random.Float64()*0.1, fleet.random.Float64()*0.1
				fleet.late = fleet.random.Float64() * 0.1
				fault = fleet.now.Add(fleet.span(50*time.Millisecond, 4*time.Second))
			}
			if lowered.IsZero() && fleet.now.Sub(time.Unix(0, 0)) > 50*time.Second {
				fleet.account, lowered = account.WithQuota(account.Rate()/4, account.Burst()/4), fleet.now
			}
			if bindingAt.IsZero() && !lowered.IsZero() && fleet.everywhere() {
				bindingAt = fleet.now.Add(window)
			}
		}
		used := most(fleet.sent, time.Unix(0, 0), fleet.now)
		worst = max(worst, float64(used)/float64(allowed(higher)))
		if used > allowed(higher) {
			t.Errorf("seed %d: %d requests in a window, want at most %d", seed, used, allowed(higher))
		}
		if fleet.overlaps > 0 {
			t.Errorf("seed %d: %d permits granted by two hosts in turns", seed, fleet.overlaps)
		}
		if used := most(fleet.sent, bindingAt, fleet.now); !bindingAt.IsZero() && used > allowed(fleet.account) {
			t.Errorf("seed %d: %d requests in a window by the lower quota, want at most %d", seed, used, allowed(fleet.account))
		}
	}
	t.Logf("largest use in a window: %.2f of what is allowed", worst)
}

// TestQuotaIsServed guards against refusals below the quota, as by a fixed split over hosts,
// and against permits that nobody gets while too many ask for them. It runs 100 hosts without
// faults for 40 s, the first 10 s of which do not count.
func TestQuotaIsServed(t *testing.T) {
	for _, test := range []struct{ rate, burst, factor float64 }{{40, 40, 0.6}, {3, 3, 0.6}, {40, 40, 5}} {
		factor := test.factor
		fleet := newFleet(1, 100, 3, 6, definer.NewAccount("a", 0).WithQuota(test.rate, test.burst))
		for fleet.now.Sub(time.Unix(0, 0)) < 40*time.Second {
			if fleet.now.Sub(time.Unix(0, 0)) == 10*time.Second {
				fleet.sent, fleet.refused, fleet.asked, fleet.fallbacks = nil, 0, 0, 0
			}
			fleet.step(factor * fleet.account.Rate())
		}
		quota, total := fleet.account.Rate()*30, len(fleet.sent)+fleet.refused
		t.Logf("demand of %.1f: %d requests, %d served of a quota of %.0f, %d messages", factor, total, len(fleet.sent), quota, fleet.asked)
		if factor < 1 && (fleet.refused*500 > total || fleet.fallbacks > 0) {
			t.Errorf("%d of %d requests refused, %d by the fallback limit; want at most 0.2 %% and none", fleet.refused, total, fleet.fallbacks)
		}
		if served := float64(len(fleet.sent)); factor > 1 && (served < 0.9*quota || served > 1.03*quota) {
			t.Errorf("%.0f requests served, want 0.9 to 1.03 of the quota of %.0f", served, quota)
		}
	}
}

// TestRestartedOwner guards against a share that nobody grants for the takeover delay after
// each restart.
func TestRestartedOwner(t *testing.T) {
	account := definer.NewAccount("a", 0).WithQuota(40, 40)
	fleet := newFleet(3, 9, 3, 6, account)
	run := func(until time.Duration) {
		for fleet.now.Sub(time.Unix(0, 0)) < until {
			fleet.step(2 * account.Rate())
		}
	}
	run(20 * time.Second)
	owner := fleet.named(fleet.granter[0])
	owner.dead, owner.startAt = true, fleet.now.Add(time.Second)
	run(21 * time.Second)
	fleet.sent = nil
	run(23 * time.Second)
	if fleet.granter[0] != owner.host.Name() || fleet.grants[fmt.Sprint(0, owner.host.Name())].Before(owner.startAt) {
		t.Errorf("%s does not grant permits of its share 2 s after a restart", owner.host.Name())
	}
	if used, quota := len(fleet.sent), 2*account.Rate(); float64(used) < 0.8*quota {
		t.Errorf("%d requests served in 2 s after a restart, want 0.8 of %.0f", used, quota)
	}
}

// TestGrantRules guards the rules by which a host grants, each of which prevents two owners
// of one share.
func TestGrantRules(t *testing.T) {
	account := definer.NewAccount("a", 0).WithQuota(30, 30)
	place := definer.NewPlace("r", "dc")
	first, second := definer.NewHost("host-0", "", "", place, 0), definer.NewHost("host-1", "", "", place, 0)
	if locator.First([]definer.Host{first, second}, definer.Place{}, "a\x000") == 1 {
		first, second = second, first
	}
	alone := []Member{NewMember(first, 1)}
	again := []Member{NewMember(first, 2)}
	behind := []Member{NewMember(second, 3)}
	both := []Member{NewMember(first, 1), NewMember(second, 3)}
	bothAgain := []Member{NewMember(first, 2), NewMember(second, 3)}
	// All hosts are seen by self, which is the first or the second, at whole seconds.
	for _, test := range []struct {
		name    string
		self    definer.Host
		views   map[int][]Member // By the time of a freshness check.
		at      int
		vouched uint64
		granted bool
	}{
		{"first for the delay", first, map[int][]Member{0: alone, 4: alone, 8: both}, 11, 0, true},
		{"first for less", first, map[int][]Member{0: alone, 4: alone}, 7, 0, false},
		{"no check after the delay", first, map[int][]Member{0: alone, 4: alone, 7: alone}, 9, 0, false},
		{"vouched for", first, map[int][]Member{0: alone}, 1, 1, true},
		{"vouched for by an earlier registration", first, map[int][]Member{0: again}, 1, 1, false},
		{"old view", first, map[int][]Member{0: alone, 4: alone, 8: alone}, 16, 0, false},
		{"old view in between", first, map[int][]Member{0: alone, 4: alone, 12: alone}, 13, 0, false},
		{"registered again", first, map[int][]Member{0: both, 4: both, 8: bothAgain}, 9, 0, false},
		{"second", second, map[int][]Member{0: both, 4: both, 8: both}, 9, 0, false},
		{"better host left", second, map[int][]Member{0: both, 4: behind, 8: behind}, 9, 0, false},
		{"better host left long ago", second, map[int][]Member{0: both, 4: behind, 8: behind, 12: behind}, 13, 0, true},
		{"better host came and left", second, map[int][]Member{0: behind, 4: both, 8: behind}, 9, 0, false},
	} {
		start := time.Unix(1000, 0)
		throttler := New(test.self, nil, testBound, start, discardJournal{})
		for second := range test.at {
			if members, ok := test.views[second]; ok {
				now := start.Add(time.Duration(second) * time.Second)
				throttler.Update(now, now, members)
			}
		}
		now := start.Add(time.Duration(test.at) * time.Second)
		if answer := throttler.Grant(now, account, 0, NewAsk(1, 0).WithVouched(test.vouched)); test.vouched > 0 && answer.Granted() > 0 {
			t.Errorf("%s: a permit at once, want an empty bucket", test.name)
		}
		answer := throttler.Grant(now.Add(time.Second/2), account, 0, NewAsk(1, 0).WithVouched(test.vouched))
		if (answer.Granted() == 1) != test.granted {
			t.Errorf("%s: %d permits granted, want a permit: %v", test.name, answer.Granted(), test.granted)
		}
	}
}

// ownShare returns a function that takes a permit of a share of the only host.
func ownShare(account *definer.Account) func() Verdict {
	start := time.Unix(1000, 0)
	members := []Member{NewMember(definer.NewHost("host", "", "", definer.Place{}, 0), 1)}
	throttler := New(members[0].host, nil, testBound, start, discardJournal{})
	throttler.SetFirstStart()
	throttler.Update(start, start, members)
	now := start.Add(testBound)
	throttler.Update(now, now, members)
	return func() Verdict {
		search := throttler.Begin(account)
		return throttler.Next(now, &search).Verdict()
	}
}

// BenchmarkOwnShare measures a permit that a host grants to itself.
func BenchmarkOwnShare(b *testing.B) {
	take := ownShare(definer.NewAccount("a", 0).WithQuota(1e12, 1e12))
	b.ReportAllocs()
	b.RunParallel(func(parallel *testing.PB) {
		for parallel.Next() {
			if take() != Granted {
				b.Error("no permit")
				return
			}
		}
	})
}

// TestOwnShareAllocatesNothing guards the permit path, which runs for each request.
func TestOwnShareAllocatesNothing(t *testing.T) {
	take := ownShare(definer.NewAccount("a", 0).WithQuota(1e9, 1e9))
	if allocations := testing.AllocsPerRun(100, func() { _ = take() }); allocations > 0 || take() != Granted {
		t.Errorf("%v allocations for a permit, want a permit and none", allocations)
	}
}
