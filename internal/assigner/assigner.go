// Package assigner assigns each request to an endpoint, for package dispatcher:
// it probes the endpoints that package placer selects, all of a tier at once, and
// returns the one that placer chooses among those that package permitter permits.
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
	"runtime/debug"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/permitter"
	"github.com/chivespool/chivespool/internal/placer"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/router"
)

// Time limits of probes.
const (
	// tierGrace is the wait for the rest of a tier after the first answer: a round
	// trip between data centres takes 2 ms, the rest is for processing.
	tierGrace = 4 * time.Millisecond
	// tierTimeout is the wait for the first answer: a round trip between regions
	// takes 24 ms, and a new connection takes another one.
	tierTimeout = 60 * time.Millisecond
	// probeTimeout bounds one probe, which may go on after the choice, so that its
	// connection is soon reused or closed.
	probeTimeout = 250 * time.Millisecond
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
	journal   Journal
	// probes counts the probes sent.
	probes atomic.Int64
	meters meters
}

// New returns an assigner whose choices are made by placer among the endpoints that
// permitter permits.
func New(directory Directory, prober Prober, placer *placer.Placer, permitter *permitter.Permitter, journal Journal) *Assigner {
	return &Assigner{directory: directory, prober: prober, placer: placer, permitter: permitter, journal: journal}
}

// Probes returns the number of probes sent.
func (assigner *Assigner) Probes() int64 { return assigner.probes.Load() }

// Acquire chooses an endpoint for request and returns a slot there. Its error is
// a *refuser.Refusal.
func (assigner *Assigner) Acquire(ctx context.Context, request router.Request) (dispatcher.Slot, error) {
	start := time.Now()
	for round := 0; ; round++ {
		// Endpoints may leave, and data centres may be evacuated, while the request waits.
		endpoints := inRegions(assigner.directory.Endpoints(request.Pool()), request.Regions())
		if len(endpoints) == 0 {
			return nil, refuse(refuser.KindNoEndpoint, "no endpoint of "+request.Pool()+" is known that may get the request")
		}
		placerRequest := placer.NewRequest(request.Class(), time.Until(request.Deadline()), request.Target(), request.Avoid()).
			WithCallerTime(time.Until(request.CallerDeadline())).WithPriority(request.Priority()).
			WithAccount(request.Account()).WithWaited(time.Since(start))
		if round == 0 {
			assigner.placer.RecordArrival(start, request.Pool(), placerRequest)
		}
		choice, candidates := assigner.choose(ctx, endpoints, placerRequest)
		if err := ended(ctx); err != nil {
			return nil, err
		}
		verdict := placer.Judge(choice, time.Since(start))
		if request.Hedge() && !choice.IsIdle() {
			verdict = placer.Refuse
		}
		if verdict == placer.Wait && pause(ctx) {
			continue
		}
		if round > 0 && !choice.Standing().HeldBack() {
			assigner.placer.RecordWait(placerRequest, choice.HasCapacity())
		}
		if verdict == placer.Serve && !assigner.permitter.Take(time.Now(), choice.Endpoint()) {
			continue // Another request has used the permit since the choice.
		}
		assigner.recordVerdict(request, placerRequest, choice, verdict == placer.Serve)
		if verdict == placer.Serve {
			assigner.logChoice(request, choice, candidates, time.Since(start))
			return assigner.slot(choice, placerRequest), nil
		}
		if err := ended(ctx); err != nil {
			return nil, err
		}
		if !choice.Found() {
			return nil, assigner.refuseUnserved(request, endpoints, candidates)
		}
		return nil, refuse(refuser.KindOverloaded, "no endpoint of "+request.Pool()+" can answer in time ("+choice.Standing().String()+
			"): "+describe(candidates)).WithRetryAfter(choice.RetryAfter(rand.Float64()))
	}
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

// pause waits between two rounds of probes. It returns false if ctx ended.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(placer.ProbeInterval/2 + rand.N(placer.ProbeInterval))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// choose probes tier by tier until no further tier is needed.
func (assigner *Assigner) choose(ctx context.Context, endpoints []definer.Endpoint, request placer.Request) (placer.Choice, []placer.Candidate) {
	var candidates []placer.Candidate
	var choice placer.Choice
	start := time.Now()
	for _, tier := range assigner.placer.Tiers(start, assigner.permitter.Candidates(start, endpoints), request) {
		if ctx.Err() != nil || !tier.Needed(choice) {
			break
		}
		candidates = append(candidates, assigner.probeTier(ctx, tier.Endpoints())...)
		choice = assigner.placer.Choose(time.Now(), assigner.permitted(candidates), request)
	}
	return choice, candidates
}

// permitted returns the candidates that a request may be sent to.
func (assigner *Assigner) permitted(candidates []placer.Candidate) []placer.Candidate {
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(candidates), func(candidate placer.Candidate) bool {
		return !assigner.permitter.Permits(now, candidate.Endpoint())
	})
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

// probe is one probe of an endpoint.
type probe struct {
	assigner *Assigner
	endpoint definer.Endpoint
	// answers has room for all answers of the tier, so that sending never blocks.
	answers chan<- answer
}

// answer is the outcome of a probe.
type answer struct {
	candidate placer.Candidate
	err       error
}

// run probes the endpoint and sends the answer. It continues after the choice is
// made, so that the connection is reused and the endpoint's state is recorded.
func (probe *probe) run() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	report, err := probe.send(ctx)
	if err != nil {
		probe.assigner.placer.RecordUnreachable(time.Now(), probe.endpoint.Name())
	} else {
		probe.assigner.placer.RecordReachable(probe.endpoint.Name())
	}
	probe.answers <- answer{candidate: placer.NewCandidate(probe.endpoint, report), err: err}
}

// send probes the endpoint. A panic fails the probe.
func (probe *probe) send(ctx context.Context) (report definer.Report, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			klog.ErrorS(nil, "health check failed with a panic; please report it", "endpoint", probe.endpoint.Name(),
				"cause", cause, "stack", string(debug.Stack()))
			err = fmt.Errorf("panic: %v", cause)
		}
	}()
	return probe.assigner.prober.Probe(ctx, probe.endpoint)
}

// probeTier probes all endpoints of tier at once and returns those that answered
// in time.
func (assigner *Assigner) probeTier(ctx context.Context, tier []definer.Endpoint) []placer.Candidate {
	answers := make(chan answer, len(tier))
	for _, endpoint := range tier {
		assigner.probes.Add(1)
		probe := &probe{assigner: assigner, endpoint: endpoint, answers: answers}
		go probe.run()
	}
	timer := time.NewTimer(tierTimeout)
	defer timer.Stop()
	var candidates []placer.Candidate
	for range tier {
		select {
		case answer := <-answers:
			if answer.err != nil {
				continue
			}
			if candidates = append(candidates, answer.candidate); len(candidates) == 1 {
				timer.Reset(tierGrace)
			}
		case <-timer.C:
			return candidates
		case <-ctx.Done():
			return candidates
		}
	}
	return candidates
}

// slot records the start of the request at the chosen endpoint and returns its
// slot.
func (assigner *Assigner) slot(choice placer.Choice, request placer.Request) *slot {
	endpoint := choice.Endpoint()
	assigner.placer.RecordStart(endpoint.Name())
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
