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

// planCount is the number of random plans; their seeds count from 0.
const planCount = 400

// step is one event of a random plan.
type step struct {
	// after is the time since the previous step in milliseconds.
	after int
	// kind selects a request, below 10, or a fault.
	kind    int
	host    int
	key     int
	outcome int
	work    int
}

// oracle tracks which operations may be running, independently of the code under
// test.
type oracle struct {
	mu sync.Mutex
	// running is true for a key that was sent and has not been settled as not run.
	running    map[int]bool
	sent       int
	violations []string
}

// send records that key was sent, and a violation if an earlier send may still run.
func (oracle *oracle) send(key int) {
	oracle.mu.Lock()
	defer oracle.mu.Unlock()
	if oracle.running[key] {
		oracle.violations = append(oracle.violations, fmt.Sprintf("key %d was granted twice", key))
	}
	oracle.running[key] = true
	oracle.sent++
}

func (oracle *oracle) markNotRun(key int) {
	oracle.mu.Lock()
	defer oracle.mu.Unlock()
	oracle.running[key] = false
}

// TestAtMostOneGrant guards against two attempts that hold the same key at once.
// It executes random plans of requests, pauses, lost replies, store outages, cut
// links and changes of owner.
func TestAtMostOneGrant(t *testing.T) {
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			after: rapid.IntRange(0, 60).Draw(t, "after"), kind: rapid.IntRange(0, 19).Draw(t, "kind"),
			host: rapid.IntRange(0, 2).Draw(t, "host"), key: rapid.IntRange(0, 3).Draw(t, "key"),
			outcome: rapid.IntRange(0, 4).Draw(t, "outcome"), work: rapid.IntRange(0, 2500).Draw(t, "work"),
		}
	}), 40, 80)
	sent := 0
	for seed := range planCount {
		plan := steps.Example(seed)
		oracle := &oracle{running: make(map[int]bool)}
		synctest.Test(t, func(t *testing.T) { oracle.run(t.Context(), plan, seed) })
		for _, violation := range oracle.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		sent += oracle.sent
	}
	if sent < 4*planCount {
		t.Errorf("only %d operations were sent in %d plans", sent, planCount)
	}
}

// run executes a plan and waits until all its calls have ended.
func (oracle *oracle) run(ctx context.Context, plan []step, seed int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limits := DefaultLimits().WithShards(1 + seed%2).WithSealBytes(1 + 400*(seed%3))
	fleet := newFleet(ctx, "abc", limits)
	fleet.store.delay = 3 * time.Millisecond
	var caller caller
	caller.oracle, caller.fleet = oracle, fleet
	for _, step := range plan {
		time.Sleep(time.Duration(step.after) * time.Millisecond)
		if step.kind < 10 {
			caller.waiting.Add(1)
			go caller.run(ctx, step)
			continue
		}
		fleet.injectFault(step)
	}
	for _, host := range fleet.hosts {
		host.resume()
	}
	caller.waiting.Wait()
	fleet.Close()
	time.Sleep(2 * lateWriteDelay)
}

// injectFault injects or ends the fault of a step.
func (fleet *fleet) injectFault(step step) {
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
	oracle  *oracle
	fleet   *fleet
	waiting sync.WaitGroup
}

func (caller *caller) run(ctx context.Context, step step) {
	defer caller.waiting.Done()
	claimContext, cancel := context.WithTimeout(ctx, time.Duration(20+step.work)*time.Millisecond)
	defer cancel()
	operation := NewOperation("swap-desk", strconv.Itoa(step.key), [32]byte{})
	claim, err := caller.fleet.hosts[step.host].Claim(claimContext, operation)
	if err != nil {
		return
	}
	caller.oracle.send(step.key)
	time.Sleep(time.Duration(step.work) * time.Millisecond)
	settleContext, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	switch step.outcome {
	case 0:
		_ = claim.Settle(settleContext, Answered(200, nil, nil))
	case 1:
		_ = claim.Settle(settleContext, Unknown())
	default:
		caller.oracle.markNotRun(step.key)
		_ = claim.Settle(settleContext, NotRun())
	}
}
