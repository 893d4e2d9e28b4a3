// Package generator puts load on chivespool as its callers do, and checks that
// every answer is whole and belongs to its request, that nothing ran twice
// that must not, and that nothing ran that was refused as not run.
//
// Load is open: requests come at their times whether earlier ones were
// answered or not, and latencies count from those times. A [Plan] says what is
// sent; the same seed gives the same requests. It uses the stand-ins' answers
// (package emulator) and pkg/client, and nothing else of the product.
package generator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/chivespool/chivespool/pkg/client"
)

// Generator runs one plan. Make one with New.
type Generator struct {
	plan    Plan
	callers []*client.Client
	tally   *tally
	// shots counts the requests in flight, for Run to wait on.
	shots sync.WaitGroup
	// free holds a token for each further request that may be in flight.
	free chan struct{}
}

// New returns a generator that asks the entry hosts at the addresses entries
// (IP:port) where to go.
func New(plan Plan, entries []string) *Generator {
	generator := &Generator{plan: plan, tally: newTally(plan), free: make(chan struct{}, maxInFlight)}
	for index := range max(plan.Callers, 1) {
		// Callers ask different entry hosts first.
		turned := append(append([]string(nil), entries[index%len(entries):]...), entries[:index%len(entries)]...)
		caller := client.New(turned...).WithSeed(fmt.Sprintf("%s-%d", plan.Label, index))
		if len(plan.Places) > 0 {
			place := plan.Places[index%len(plan.Places)]
			caller = caller.WithPlace(place.Region, place.DataCentre)
		}
		generator.callers = append(generator.callers, caller)
	}
	return generator
}

// maxInFlight bounds the requests in flight; those over it are counted as
// unsent.
const maxInFlight = 20000

// Run sends the plan's requests, waits for their ends, and returns what came
// of them. When ctx ends it sends no more.
func (generator *Generator) Run(ctx context.Context) *Report {
	start := time.Now()
	schedule := newSchedule(generator.plan)
	// Requests in flight outlive ctx: their ends are what is measured.
	flight := context.WithoutCancel(ctx)
	for index := 0; ; index++ {
		work, more := schedule.next()
		if !more || !waitUntil(ctx, start.Add(work.at)) {
			break
		}
		shot := &shot{generator: generator, work: work, start: start.Add(work.at)}
		shot.caller = generator.callers[index%len(generator.callers)]
		generator.launch(flight, shot)
	}
	generator.shots.Wait()
	took := time.Since(start)
	for _, caller := range generator.callers {
		_ = caller.Close()
	}
	return generator.tally.report(took)
}

// launch starts a request, unless too many are in flight.
func (generator *Generator) launch(ctx context.Context, shot *shot) {
	select {
	case generator.free <- struct{}{}:
	default:
		generator.tally.add(result{work: shot.work, end: endUnsent})
		return
	}
	generator.shots.Add(1)
	go shot.run(ctx)
}

// waitUntil waits for a time and reports false where ctx ended first.
func waitUntil(ctx context.Context, then time.Time) bool {
	wait := time.Until(then)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
