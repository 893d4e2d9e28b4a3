// Package assigner gives each request an endpoint: it asks the endpoints that
// package placer names for their load, all of a ring at once, and hands out
// what placer chooses. It stands where package router stands on fleets whose
// hosts are homes.
package assigner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/placer"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/router"
)

// How long answers of a ring are waited for.
const (
	// ringPatience is the wait for the rest of a ring once one has answered: a way
	// between data centres and back takes 2 ms, and some for the processors.
	ringPatience = 4 * time.Millisecond
	// ringTimeout is the wait for the first answer: a way between regions and
	// back takes 24 ms, a new connection as much again.
	ringTimeout = 60 * time.Millisecond
	// askTimeout bounds one health check, so that its connection is soon of use
	// again or closed.
	askTimeout = 250 * time.Millisecond
)

// A refused caller is asked to come back between retryLeast and retryMost
// later, spread so that callers who were refused together come back apart.
const (
	retryLeast = 100 * time.Millisecond
	retryMost  = 500 * time.Millisecond
)

// Asker asks an endpoint for its load.
type Asker interface {
	Ask(ctx context.Context, endpoint definer.Endpoint) (definer.Report, error)
}

// Directory tells which endpoints a service has.
type Directory interface {
	// Endpoints returns the endpoints of service that take new work.
	Endpoints(service string) []definer.Endpoint
	// Belief returns the age and the revision of what is known of endpoints.
	Belief() (age time.Duration, revision uint64)
}

// Journal takes the choices that are made.
type Journal interface {
	Usual(what string, details ...any)
}

// Assigner assigns requests. Make one with New.
type Assigner struct {
	directory Directory
	asker     Asker
	placer    *placer.Placer
	journal   Journal
	// asked counts health checks that were sent.
	asked atomic.Int64
}

// New returns an assigner that decides by placer.
func New(directory Directory, asker Asker, placer *placer.Placer, journal Journal) *Assigner {
	return &Assigner{directory: directory, asker: asker, placer: placer, journal: journal}
}

// Asked returns how many health checks were sent.
func (assigner *Assigner) Asked() int64 { return assigner.asked.Load() }

// Acquire chooses an endpoint for request. Its error is a *refuser.Refusal.
func (assigner *Assigner) Acquire(ctx context.Context, request router.Request) (dispatcher.Slot, error) {
	endpoints := assigner.directory.Endpoints(request.Pool())
	if len(endpoints) == 0 {
		return nil, refuse(refuser.KindNoEndpoint, "no endpoint of "+request.Pool()+" is known")
	}
	start := time.Now()
	for round := 0; ; round++ {
		want := placer.NewWant(request.Class(), time.Until(request.Deadline()), request.Target(), request.Avoid())
		choice, asked := assigner.choose(ctx, endpoints, want)
		if err := ended(ctx); err != nil {
			return nil, err
		}
		verdict := placer.Judge(choice, time.Since(start))
		if request.Hedge() && !choice.Roomy() {
			verdict = placer.Refuse
		}
		if verdict == placer.Wait && pause(ctx) {
			continue
		}
		if round > 0 {
			assigner.placer.Waited(want, choice.Roomy())
		}
		if verdict == placer.Serve {
			assigner.note(request, choice, asked, time.Since(start))
			return assigner.slot(choice, asked, want), nil
		}
		if err := ended(ctx); err != nil {
			return nil, err
		}
		if !choice.Found() {
			return nil, refuse(refuser.KindUnreachable, fmt.Sprintf("none of %d endpoints of %s answers", len(endpoints), request.Pool()))
		}
		return nil, refuse(refuser.KindOverloaded, "no endpoint of "+request.Pool()+" can answer in time: "+describe(asked))
	}
}

// ended returns the refusal of a request whose context has ended, or nil.
func ended(ctx context.Context) error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return refuser.New(refuser.KindCancelled, refuser.NotRun, "the caller went away")
	case ctx.Err() != nil:
		return refuse(refuser.KindDeadline, "the deadline passed before an endpoint was found")
	}
	return nil
}

// pause waits between two rounds; false where ctx ended.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(placer.Pause/2 + rand.N(placer.Pause))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// choose asks ring by ring as long as another one is needed.
func (assigner *Assigner) choose(ctx context.Context, endpoints []definer.Endpoint, want placer.Want) (placer.Choice, []placer.Asked) {
	var asked []placer.Asked
	var choice placer.Choice
	for _, ring := range assigner.placer.Rings(time.Now(), endpoints, want) {
		if ctx.Err() != nil || !ring.Needed(choice) {
			break
		}
		asked = append(asked, assigner.ask(ctx, ring.Endpoints())...)
		choice = assigner.placer.Choose(time.Now(), asked, want)
	}
	return choice, asked
}

// note logs a choice with what it rests on.
func (assigner *Assigner) note(request router.Request, choice placer.Choice, asked []placer.Asked, waited time.Duration) {
	age, revision := assigner.directory.Belief()
	assigner.journal.Usual("assigned", "request", request.ID(), "endpoint", choice.Endpoint().Name(),
		"expected", choice.Run(), "asked", describe(asked), "waited", waited, "belief-age", age, "revision", revision)
}

// describe returns what each endpoint said of itself.
func describe(asked []placer.Asked) string {
	var text strings.Builder
	for _, candidate := range asked {
		report := candidate.Report()
		fmt.Fprintf(&text, "%s:%d+%d/%d@%.2f ", candidate.Name(), report.Running(), report.Waiting(), report.Slots(), report.Slowdown())
	}
	return strings.TrimSpace(text.String())
}

func refuse(kind refuser.Kind, detail string) *refuser.Refusal {
	wait := retryLeast + rand.N(retryMost-retryLeast)
	return refuser.New(kind, refuser.NotRun, detail).WithRetryAfter(wait)
}

// inquiry is one health check.
type inquiry struct {
	assigner *Assigner
	endpoint definer.Endpoint
	// answers has room for every answer of the ring.
	answers chan<- answer
}

// answer is how a health check ended.
type answer struct {
	asked placer.Asked
	err   error
}

// run asks and reports. It goes on after the choice was made, so that its
// connection is kept and its endpoint is learned of.
func (inquiry *inquiry) run() {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	report, err := inquiry.assigner.asker.Ask(ctx, inquiry.endpoint)
	if err != nil {
		inquiry.assigner.placer.Missed(time.Now(), inquiry.endpoint.Name())
	} else {
		inquiry.assigner.placer.Reached(inquiry.endpoint.Name())
	}
	inquiry.answers <- answer{asked: placer.NewAsked(inquiry.endpoint, report), err: err}
}

// ask asks all endpoints of ring and returns those that answered in time.
func (assigner *Assigner) ask(ctx context.Context, ring []definer.Endpoint) []placer.Asked {
	answers := make(chan answer, len(ring))
	for _, endpoint := range ring {
		assigner.asked.Add(1)
		inquiry := &inquiry{assigner: assigner, endpoint: endpoint, answers: answers}
		go inquiry.run()
	}
	patience := time.NewTimer(ringTimeout)
	defer patience.Stop()
	var asked []placer.Asked
	for range ring {
		select {
		case answer := <-answers:
			if answer.err != nil {
				continue
			}
			if asked = append(asked, answer.asked); len(asked) == 1 {
				patience.Reset(ringPatience)
			}
		case <-patience.C:
			return asked
		case <-ctx.Done():
			return asked
		}
	}
	return asked
}

func (assigner *Assigner) slot(choice placer.Choice, asked []placer.Asked, want placer.Want) *slot {
	endpoint := choice.Endpoint()
	assigner.placer.Began(endpoint.Name())
	pace := 1.0
	for _, candidate := range asked {
		if candidate.Name() == endpoint.Name() {
			pace = max(candidate.Report().Slowdown(), 1)
		}
	}
	return &slot{assigner: assigner, endpoint: endpoint, want: want, pace: pace}
}

// slot is a request at its endpoint.
type slot struct {
	assigner *Assigner
	endpoint definer.Endpoint
	want     placer.Want
	// pace is that by which the endpoint was chosen.
	pace     float64
	released atomic.Bool
}

// Endpoint returns where the request runs.
func (slot *slot) Endpoint() definer.Endpoint { return slot.endpoint }

// The weights of outcomes that tell of trouble with an endpoint.
const (
	crashWeight     = 1
	failureWeight   = 0.5
	cancelledWeight = 0.3
	shedWeight      = 0.3
)

// Release learns from how the request ended.
func (slot *slot) Release(result router.Result) {
	if !slot.released.CompareAndSwap(false, true) {
		return
	}
	decider, name, now := slot.assigner.placer, slot.endpoint.Name(), time.Now()
	decider.Ended(name)
	switch result.Outcome() {
	case router.Answered:
		decider.Answered(now, name, slot.want, result.RunTime(), slot.pace, result.Bytes())
	case router.Failed:
		decider.Broke(now, name, failureWeight)
	case router.Crashed:
		decider.Broke(now, name, crashWeight)
	case router.Cancelled:
		decider.Broke(now, name, cancelledWeight)
	case router.Shed:
		decider.Broke(now, name, shedWeight)
	case router.Unreachable, router.Draining:
		decider.Missed(now, name)
	}
}
