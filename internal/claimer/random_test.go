package claimer

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// plans is how many random plans are tried, with the seeds from 0 up.
const plans = 400

// step is one thing that happens in a random plan.
type step struct {
	// after is milliseconds since the step before.
	after int
	// kind chooses between a request and a disturbance.
	kind    int
	host    int
	key     int
	outcome int
	work    int
}

// ledgerOfTruth notes who may run what, apart from the code under test.
type ledgerOfTruth struct {
	mu sync.Mutex
	// running is true for a key that was sent and not known as not run.
	running map[int]bool
	sent    int
	faults  []string
}

func (ledgerOfTruth *ledgerOfTruth) send(key int) {
	ledgerOfTruth.mu.Lock()
	defer ledgerOfTruth.mu.Unlock()
	if ledgerOfTruth.running[key] {
		ledgerOfTruth.faults = append(ledgerOfTruth.faults, fmt.Sprintf("key %d was granted twice", key))
	}
	ledgerOfTruth.running[key] = true
	ledgerOfTruth.sent++
}

func (ledgerOfTruth *ledgerOfTruth) unsend(key int) {
	ledgerOfTruth.mu.Lock()
	defer ledgerOfTruth.mu.Unlock()
	ledgerOfTruth.running[key] = false
}

// TestNeverTwoGrants plays random plans of requests, pauses, lost replies,
// outages, cut links and changes of owner, and looks for a key that two
// attempts hold at once.
func TestNeverTwoGrants(t *testing.T) {
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			after: rapid.IntRange(0, 60).Draw(t, "after"), kind: rapid.IntRange(0, 19).Draw(t, "kind"),
			host: rapid.IntRange(0, 2).Draw(t, "host"), key: rapid.IntRange(0, 3).Draw(t, "key"),
			outcome: rapid.IntRange(0, 4).Draw(t, "outcome"), work: rapid.IntRange(0, 2500).Draw(t, "work"),
		}
	}), 40, 80)
	sent := 0
	for seed := range plans {
		plan := steps.Example(seed)
		truth := &ledgerOfTruth{running: make(map[int]bool)}
		synctest.Test(t, func(t *testing.T) { truth.play(t.Context(), plan, seed) })
		for _, fault := range truth.faults {
			t.Errorf("seed %d: %s", seed, fault)
		}
		sent += truth.sent
	}
	if sent < 4*plans {
		t.Errorf("only %d operations were sent in %d plans", sent, plans)
	}
}

// play carries out a plan and waits for its end.
func (ledgerOfTruth *ledgerOfTruth) play(ctx context.Context, plan []step, seed int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limits := DefaultLimits().WithShards(1 + seed%2).WithSealBytes(1 + 400*(seed%3))
	fleet := newFleet(ctx, "abc", limits)
	fleet.store.delay = 3 * time.Millisecond
	var caller caller
	caller.truth, caller.fleet = ledgerOfTruth, fleet
	for _, step := range plan {
		time.Sleep(time.Duration(step.after) * time.Millisecond)
		if step.kind < 10 {
			caller.waiting.Add(1)
			go caller.run(ctx, step)
			continue
		}
		fleet.disturb(step)
	}
	for _, host := range fleet.hosts {
		host.resume()
	}
	caller.waiting.Wait()
	fleet.Close()
	time.Sleep(2 * lateness)
}

// disturb does one disturbance.
func (fleet *fleet) disturb(step step) {
	host := fleet.hosts[step.host]
	switch step.kind {
	case 10, 11:
		host.resume()
		host.pause()
	case 12, 13, 14:
		host.resume()
	case 15:
		fleet.mu.Lock()
		defer fleet.mu.Unlock()
		fleet.live = [][]string{{"a", "b", "c"}, {"a"}, {"b", "c"}}[step.key%3]
	case 16:
		fleet.mu.Lock()
		defer fleet.mu.Unlock()
		fleet.cut = []string{"", "before", "after", ""}[step.key]
	default:
		fleet.store.mu.Lock()
		defer fleet.store.mu.Unlock()
		fleet.store.outage = step.kind == 17 && !fleet.store.outage
		fleet.store.faults = append(fleet.store.faults, fault(step.key))
	}
}

// caller sends operations and settles them.
type caller struct {
	truth   *ledgerOfTruth
	fleet   *fleet
	waiting sync.WaitGroup
}

func (caller *caller) run(ctx context.Context, step step) {
	defer caller.waiting.Done()
	patience, cancel := context.WithTimeout(ctx, time.Duration(20+step.work)*time.Millisecond)
	defer cancel()
	operation := NewOperation("swap-desk", strconv.Itoa(step.key), [32]byte{})
	claim, err := caller.fleet.hosts[step.host].Claim(patience, operation)
	if err != nil {
		return
	}
	caller.truth.send(step.key)
	time.Sleep(time.Duration(step.work) * time.Millisecond)
	settle, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	switch step.outcome {
	case 0:
		_ = claim.Settle(settle, Answered(200, nil, nil))
	case 1:
		_ = claim.Settle(settle, Unknown())
	default:
		caller.truth.unsend(step.key)
		_ = claim.Settle(settle, NotRun())
	}
}
