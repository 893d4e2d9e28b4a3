package throttler

import (
	"fmt"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
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
	worst, most5 := 0.0, 0
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
		if ratio := float64(used) / float64(allowed(higher)); ratio > worst {
			worst, most5 = ratio, used
		}
		if used > allowed(higher) {
			t.Errorf("seed %d: %d requests in a window, want at most %d", seed, used, allowed(higher))
		}
		if fleet.overlaps > 0 {
			t.Errorf("seed %d: %d permits granted by two hosts in turns", seed, fleet.overlaps)
		}
		if bindingAt.IsZero() {
			continue
		}
		if used := most(fleet.sent, bindingAt, fleet.now); used > allowed(fleet.account) {
			t.Errorf("seed %d: %d requests in a window by the lower quota, want at most %d", seed, used, allowed(fleet.account))
		}
	}
	t.Logf("largest use in a window: %d requests, %.2f of what is allowed", most5, worst)
}

// steady runs 100 hosts without faults for 40 s and returns the fleet, from whose counts
// the first 10 s are left out.
func steady(seed uint64, factor float64) *fleet {
	account := definer.NewAccount("a", 0).WithQuota(40, 40)
	fleet := newFleet(seed, 100, 3, 6, account)
	for fleet.now.Sub(time.Unix(0, 0)) < 40*time.Second {
		if fleet.now.Sub(time.Unix(0, 0)) == 10*time.Second {
			fleet.sent, fleet.refused, fleet.asked, fleet.fallbacks = nil, 0, 0, 0
		}
		fleet.step(factor * account.Rate())
	}
	return fleet
}

// TestBelowQuota guards against refusals below the quota, as by a fixed split over hosts.
func TestBelowQuota(t *testing.T) {
	fleet := steady(1, 0.6)
	total := len(fleet.sent) + fleet.refused
	t.Logf("%d requests, %d refused, %d asked", total, fleet.refused, fleet.asked)
	if fleet.refused*500 > total || fleet.fallbacks > 0 {
		t.Errorf("%d of %d requests refused, %d by the fallback limit; want at most 0.2 %% and none", fleet.refused, total, fleet.fallbacks)
	}
}

// TestAboveQuota guards against permits that nobody gets while too many ask for them, and
// against a message for each refusal.
func TestAboveQuota(t *testing.T) {
	fleet := steady(2, 5)
	quota := fleet.account.Rate() * 30
	total := len(fleet.sent) + fleet.refused
	t.Logf("%d requests, %d served of a quota of %.0f, %d asked", total, len(fleet.sent), quota, fleet.asked)
	if served := float64(len(fleet.sent)); served < 0.9*quota || served > 1.1*quota {
		t.Errorf("%.0f requests served, want 0.9 to 1.1 of the quota of %.0f", served, quota)
	}
}

// owner returns the throttler of a host that owns a share of account.
func owner(account *definer.Account) *Throttler {
	var members []Member
	for number := range 100 {
		host := definer.NewHost(fmt.Sprintf("host-%03d", number), "", "", definer.NewPlace("r", "dc"), 0)
		members = append(members, NewMember(host, 1))
	}
	now := time.Unix(1000, 0)
	for _, member := range members {
		throttler := New(member.host, nil, testBound, now.Add(-time.Minute), discardJournal{})
		throttler.Update(now.Add(-time.Minute), now.Add(-time.Minute), members)
		throttler.roster.Load().checkedAt = now
		ledger := throttler.ledger(account)
		ledger.update(now, throttler.roster.Load(), account)
		for index := range ledger.shares {
			if ledger.shares[index].isLocal {
				return throttler
			}
		}
	}
	return nil
}

// BenchmarkOwnShare measures a permit that this host grants to itself, which must not
// allocate.
func BenchmarkOwnShare(b *testing.B) {
	account := definer.NewAccount("a", 0).WithQuota(1e12, 1e12)
	throttler := owner(account)
	now := time.Unix(1001, 0)
	b.ReportAllocs()
	b.RunParallel(func(parallel *testing.PB) {
		for parallel.Next() {
			search := throttler.Begin(account)
			if step := throttler.Next(now, &search); step.Verdict() != Granted {
				b.Error("no permit")
				return
			}
		}
	})
}

// TestOwnShareAllocatesNothing guards the permit path, which runs for each request.
func TestOwnShareAllocatesNothing(t *testing.T) {
	account := definer.NewAccount("a", 0).WithQuota(1e9, 1e9)
	throttler := owner(account)
	now := time.Unix(1001, 0)
	if allocations := testing.AllocsPerRun(100, func() {
		search := throttler.Begin(account)
		_ = throttler.Next(now, &search)
	}); allocations > 0 {
		t.Errorf("%v allocations for a permit, want none", allocations)
	}
}
