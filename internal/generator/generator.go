// Package generator generates open-loop load on chivespool for the command
// chivesbench, and checks the answers.
//
// Requests are sent on the schedule of a [Plan], each in a goroutine, and
// latencies are measured from the scheduled times. The package checks that every
// answer is complete and belongs to its request, that no non-repeatable request
// ran twice, and that no request ran that was refused as not run. Of chivespool
// it uses only pkg/client, and for the expected answers package emulator.
package generator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/chivespool/chivespool/pkg/client"
)

// Generator runs one plan. Use New to create one.
type Generator struct {
	plan    Plan
	callers []*client.Client
	tally   *tally
	// inFlight counts the requests in flight; Run waits for it.
	inFlight sync.WaitGroup
	// tokens holds a token for each request in flight, up to maxInFlight.
	tokens chan struct{}
}

// New returns a generator whose callers get the routes from the entry hosts at
// the addresses entries (IP:port).
func New(plan Plan, entries []string) *Generator {
	generator := &Generator{plan: plan, tally: newTally(plan), tokens: make(chan struct{}, maxInFlight)}
	for index := range max(plan.Callers, 1) {
		// Rotates the list so that callers start with different entry hosts.
		rotated := append(append([]string(nil), entries[index%len(entries):]...), entries[:index%len(entries)]...)
		caller := client.New(rotated...).WithSeed(fmt.Sprintf("%s-%d", plan.Label, index))
		if len(plan.Places) > 0 {
			place := plan.Places[index%len(plan.Places)]
			caller = caller.WithPlace(place.Region, place.DataCentre)
		}
		generator.callers = append(generator.callers, caller)
	}
	return generator
}

// maxInFlight limits the requests in flight; those above it are counted as
// unsent.
const maxInFlight = 20000

// Run sends the plan's requests, waits for their outcomes and returns the report.
// Once ctx is done it sends no more requests.
func (generator *Generator) Run(ctx context.Context) *Report {
	start := time.Now()
	schedule := newSchedule(generator.plan)
	// Requests in flight are not cancelled with ctx, because their outcomes count.
	callCtx := context.WithoutCancel(ctx)
	for index := 0; ; index++ {
		work, more := schedule.next()
		if !more || !waitUntil(ctx, start.Add(work.at)) {
			break
		}
		call := &call{generator: generator, work: work, start: start.Add(work.at)}
		call.caller = generator.callers[index%len(generator.callers)]
		generator.launch(callCtx, call)
	}
	generator.inFlight.Wait()
	took := time.Since(start)
	for _, caller := range generator.callers {
		_ = caller.Close()
	}
	return generator.tally.report(took)
}

// launch starts a call, unless too many are in flight.
func (generator *Generator) launch(ctx context.Context, call *call) {
	select {
	case generator.tokens <- struct{}{}:
	default:
		generator.tally.add(result{work: call.work, outcome: outcomeUnsent})
		return
	}
	generator.inFlight.Add(1)
	go call.run(ctx)
}

// waitUntil waits for a point in time and reports false if ctx is done first.
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
