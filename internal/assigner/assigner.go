// Package assigner assigns each request to an endpoint, for package dispatcher:
// it probes the endpoints that package placer selects, all of a tier at once, and
// returns the one that placer chooses among those that package permitter permits.
// Package pacer decides which of them are probed and whose last report is used instead.
//
// The requests of a host share its probes: a probe under way answers all selections that
// want the endpoint's report, and requests of a service that wait for capacity wait for
// the same round of probes.
//
// Where endpoints have home hosts, package router is used instead. The package
// reads the clock and starts a goroutine for each probe; the network calls are
// made by its Prober.
package assigner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/pacer"
	"github.com/chivespool/chivespool/internal/permitter"
	"github.com/chivespool/chivespool/internal/placer"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/router"
)

// Prober probes an endpoint for its load.
type Prober interface {
	Probe(ctx context.Context, endpoint definer.Endpoint) (definer.Report, error)
}

// Directory lists the endpoints of services.
type Directory interface {
	// Endpoints returns the endpoints of service that accept new requests.
	Endpoints(service string) []definer.Endpoint
	// Freshness returns the age and the revision of the host's local view.
	Freshness() (age time.Duration, revision uint64)
}

// Journal logs choices.
type Journal interface {
	Routine(message string, details ...any)
}

// Assigner assigns requests. Make one with New.
type Assigner struct {
	directory Directory
	prober    Prober
	placer    *placer.Placer
	permitter *permitter.Permitter
	pacer     *pacer.Pacer
	journal   Journal
	meters    meters
	// tasks counts the probes under way, for Close.
	tasks sync.WaitGroup
	// mu guards the fields below.
	mu sync.Mutex
	// probes holds the latest probe under way of each endpoint by name.
	probes map[string]*probe
	// rounds holds the round that waiting requests wait for, by service.
	rounds map[string]*round
}

// New returns an assigner whose choices are made by placer among the endpoints that
// permitter permits.
func New(directory Directory, prober Prober, placer *placer.Placer, permitter *permitter.Permitter, journal Journal) *Assigner {
	return &Assigner{
		directory: directory, prober: prober, placer: placer, permitter: permitter, journal: journal,
		pacer: &pacer.Pacer{}, probes: make(map[string]*probe), rounds: make(map[string]*round),
	}
}

// SetPacer replaces the default pacer, which sets no bound on probes. Call it before the
// first use.
func (assigner *Assigner) SetPacer(pacer *pacer.Pacer) { assigner.pacer = pacer }

// Close waits for the probes under way.
func (assigner *Assigner) Close() error {
	assigner.tasks.Wait()
	return nil
}

// Acquire chooses an endpoint for request and returns a slot there. Its error is
// a *refuser.Refusal.
func (assigner *Assigner) Acquire(ctx context.Context, request router.Request) (dispatcher.Slot, error) {
	start, draw, phase, arrived := time.Now(), rand.Float64(), pacer.Arriving, false
	var led *round
	defer func() { assigner.finish(led) }()
	for {
		// Endpoints may leave, and data centres may be evacuated, while the request waits.
		endpoints := inRegions(assigner.directory.Endpoints(request.Pool()), request.Regions())
		if len(endpoints) == 0 {
			return nil, refuse(refuser.KindNoEndpoint, "no endpoint of "+request.Pool()+" is known that may get the request")
		}
		placerRequest := placer.NewRequest(request.Class(), time.Until(request.Deadline()), request.Target(), request.Avoid()).
			WithCallerTime(time.Until(request.CallerDeadline())).WithPriority(request.Priority()).
			WithBytes(request.Bytes()).WithDraw(draw).WithAccount(request.Account()).WithWaited(time.Since(start))
		if !arrived {
			arrived = true
			assigner.placer.RecordArrival(start, request.Pool(), placerRequest)
		}
		selection := assigner.choose(ctx, endpoints, placerRequest, phase)
		choice := selection.Choice()
		assigner.finish(led)
		led = nil
		if err := ended(ctx); err != nil {
			return nil, err
		}
		verdict := placer.Judge(choice, time.Since(start))
		if request.Hedge() && !choice.IsIdle() {
			verdict = placer.Refuse
		}
		if verdict == placer.Wait {
			var ok bool
			if led, phase, ok = assigner.wait(ctx, request.Pool()); ok {
				continue
			}
		}
		if phase != pacer.Arriving && !choice.Standing().HeldBack() {
			assigner.placer.RecordWait(placerRequest, choice.HasCapacity())
		}
		if verdict == placer.Serve && !assigner.take(choice.Endpoint(), selection.Seen()) {
			continue // Another request has used the slot or the permit since the choice.
		}
		assigner.recordVerdict(request, placerRequest, choice, verdict == placer.Serve)
		if verdict == placer.Serve {
			assigner.logChoice(request, choice, selection.Candidates(), time.Since(start))
			return assigner.slot(choice, placerRequest), nil
		}
		if err := ended(ctx); err != nil {
			return nil, err
		}
		if !choice.Found() {
			return nil, assigner.refuseUnserved(request, endpoints, selection.Candidates())
		}
		return nil, refuse(refuser.KindOverloaded, "no endpoint of "+request.Pool()+" can answer in time ("+choice.Standing().String()+
			"): "+describe(selection.Candidates())).WithRetryAfter(choice.RetryAfter(rand.Float64()))
	}
}

// take takes a permit for the chosen endpoint and counts the request there, unless
// another request has used the permit or was assigned to the endpoint since the choice.
func (assigner *Assigner) take(endpoint definer.Endpoint, seen uint64) bool {
	if !assigner.pacer.Start(endpoint.Name(), seen) {
		assigner.meters.collision()
		return false
	}
	if !assigner.permitter.Take(time.Now(), endpoint) {
		assigner.pacer.Cancel(endpoint.Name())
		return false
	}
	return true
}

// inRegions returns the endpoints in regions; all if regions is empty.
func inRegions(endpoints []definer.Endpoint, regions []string) []definer.Endpoint {
	if len(regions) == 0 {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(endpoint definer.Endpoint) bool {
		return !slices.Contains(regions, endpoint.Place().Region())
	})
}

// refuseUnserved returns the refusal of a request for which no endpoint was found:
// none answers, or those that do take no more requests now.
func (assigner *Assigner) refuseUnserved(request router.Request, endpoints []definer.Endpoint, answered []placer.Candidate) error {
	now := time.Now()
	if len(answered) == 0 && len(assigner.permitter.Candidates(now, endpoints)) > 0 {
		return refuse(refuser.KindUnreachable, fmt.Sprintf("none of %d endpoints of %s answers", len(endpoints), request.Pool()))
	}
	refusal := refuse(refuser.KindOverloaded, "the endpoints of "+request.Pool()+" take no more requests now; probed: "+describe(answered))
	if wait, ok := assigner.permitter.NextPermit(now, endpoints); ok {
		refusal = refusal.WithRetryAfter(wait + refusal.RetryAfter())
	}
	return refusal
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

// logChoice logs a choice with the reports that it is based on.
func (assigner *Assigner) logChoice(request router.Request, choice placer.Choice, candidates []placer.Candidate, waited time.Duration) {
	age, revision := assigner.directory.Freshness()
	assigner.journal.Routine("assigned", "request", request.ID(), "endpoint", choice.Endpoint().Name(),
		"expected", choice.ExpectedRun(), "standing", choice.Standing().String(), "asked", describe(candidates), "waited", waited, "belief-age", age, "revision", revision)
}

// describe lists the load that each endpoint reported and the limit that it named, and
// marks endpoints that reported themselves as unhealthy.
func describe(candidates []placer.Candidate) string {
	var text strings.Builder
	for _, candidate := range candidates {
		report := candidate.Report()
		fmt.Fprintf(&text, "%s:%d+%d/%d@%.2f", candidate.Name(), report.Running(), report.Waiting(), report.Slots(), report.Slowdown())
		if limit, limited := report.Limit(); limited {
			fmt.Fprintf(&text, "<%g/s", limit)
		}
		if !report.Healthy() {
			text.WriteString("!")
		}
		text.WriteString(" ")
	}
	return strings.TrimSpace(text.String())
}

// refuse returns a refusal of a request that has not run, with a retry time.
func refuse(kind refuser.Kind, detail string) *refuser.Refusal {
	return refuser.New(kind, refuser.NotRun, detail).WithRetryAfter(placer.RetryAfter(rand.Float64()))
}

// slot records the start of the request at the chosen endpoint and returns its
// slot.
func (assigner *Assigner) slot(choice placer.Choice, request placer.Request) *slot {
	endpoint := choice.Endpoint()
	assigner.placer.RecordStart(endpoint.Name())
	assigner.placer.RecordSent(choice)
	return &slot{
		assigner: assigner, endpoint: endpoint, request: request, forecast: choice.Forecast(),
		silenceLimit: assigner.placer.SilenceLimit(request, choice.Forecast()),
	}
}

var _ dispatcher.Watcher = (*slot)(nil)

// slot is the assignment of one request to an endpoint.
type slot struct {
	assigner *Assigner
	endpoint definer.Endpoint
	request  placer.Request
	// forecast is that of the choice.
	forecast placer.Forecast
	// silenceLimit is the time after which the endpoint's silence is not explained by the
	// request's work.
	silenceLimit time.Duration
	released     atomic.Bool
}

// Endpoint returns the endpoint that the request is assigned to.
func (slot *slot) Endpoint() definer.Endpoint { return slot.endpoint }

// SilenceLimit returns the time after which the endpoint's silence is not explained by the
// request's work.
func (slot *slot) SilenceLimit() time.Duration { return slot.silenceLimit }

// RecordSilence records that the endpoint has been silent beyond the limit, before the
// outcome of the request is known.
func (slot *slot) RecordSilence() {
	slot.assigner.placer.RecordSilence(time.Now(), slot.endpoint.Name(), slot.request, silenceWeight)
}

// Weights of outcomes in the failure score of an endpoint.
const (
	crashWeight     = 1
	failureWeight   = 0.5
	cancelledWeight = 0.3
	shedWeight      = 0.3
	silenceWeight   = 0.5
)

// Release records the outcome of the request. Further calls have no effect.
func (slot *slot) Release(result router.Result) {
	if !slot.released.CompareAndSwap(false, true) {
		return
	}
	placer, name, now := slot.assigner.placer, slot.endpoint.Name(), time.Now()
	placer.RecordEnd(name)
	switch result.Outcome() {
	case router.Answered:
		placer.RecordAnswer(now, name, slot.request, result.RunTime(), slot.forecast, result.Bytes())
	case router.Failed:
		placer.RecordFailure(now, name, failureWeight)
	case router.Crashed:
		placer.RecordFailure(now, name, crashWeight)
	case router.Cancelled:
		placer.RecordFailure(now, name, cancelledWeight)
	case router.Shed:
		placer.RecordFailure(now, name, shedWeight)
	case router.Unreachable, router.Draining:
		placer.RecordUnreachable(now, name)
	}
}
