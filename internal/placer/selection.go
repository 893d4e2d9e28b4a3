package placer

import (
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/pacer"
)

// Permitter decides which endpoints a request may be sent to.
type Permitter interface {
	// Permits reports whether a request may be sent to endpoint.
	Permits(now time.Time, endpoint definer.Endpoint) bool
}

// Selection is the search for an endpoint for one request, tier by tier until no further
// one is needed. At each distance, it begins with reports that are there already. Its
// caller carries out the steps of each tier:
//
//	for selection.Next(now) {
//		steps := selection.Plan(now)
//		// Probe or join each step's endpoint and Add the reports.
//		selection.Compare(now)
//	}
//
// It is for one goroutine.
type Selection struct {
	placer    *Placer
	pacer     *pacer.Pacer
	permitter Permitter
	request   Request
	phase     pacer.Phase
	// all holds all tiers, tiers those that have not been probed, and tier is the one to
	// probe now.
	all   []Tier
	tiers []Tier
	tier  Tier
	// distant is true for the tiers after the first.
	distant bool
	// endpoints and readings hold the endpoints with a report, and their reports.
	endpoints []definer.Endpoint
	readings  []pacer.Reading
	// choice is that among the permitted ones of candidates. Seen counts the host's
	// assignments that their reports include, by name.
	choice                Choice
	candidates, permitted []Candidate
	seen                  map[string]uint64
	// reused counts the reports that were there already.
	reused int
}

// Select begins the search for an endpoint for a request in a phase.
func (placer *Placer) Select(now time.Time, pace *pacer.Pacer, permitter Permitter, endpoints []definer.Endpoint, request Request, phase pacer.Phase) *Selection {
	tiers := placer.Tiers(now, endpoints, request)
	return &Selection{
		placer: placer, pacer: pace, permitter: permitter, request: request, phase: phase,
		all: tiers, tiers: tiers,
	}
}

// Choice returns the best endpoint so far.
func (selection *Selection) Choice() Choice { return selection.choice }

// Candidates returns the endpoints with a report, permitted or not.
func (selection *Selection) Candidates() []Candidate { return selection.candidates }

// Seen returns the count of the host's assignments to the chosen endpoint that the choice
// is based on, for [pacer.Pacer.Start].
func (selection *Selection) Seen() uint64 { return selection.seen[selection.choice.endpoint.Name()] }

// Reused returns the number of reports that were there already.
func (selection *Selection) Reused() int { return selection.reused }

// Next reports whether another tier is to be probed, and goes to it.
func (selection *Selection) Next(now time.Time) bool {
	if len(selection.tiers) == 0 || !selection.tiers[0].Needed(selection.choice) {
		return false
	}
	selection.distant = len(selection.tier.endpoints) > 0
	selection.tier, selection.tiers = selection.tiers[0], selection.tiers[1:]
	if selection.reuse(now, selection.tier.group) {
		selection.Compare(now)
		return selection.tier.Needed(selection.choice)
	}
	return true
}

// reuse adds the last reports of endpoints that are as good as new, and reports whether
// there are any.
func (selection *Selection) reuse(now time.Time, endpoints []definer.Endpoint) bool {
	names := make([]string, 0, len(endpoints))
	for _, endpoint := range endpoints {
		names = append(names, endpoint.Name())
	}
	readings := selection.pacer.Reusable(now, names)
	selection.reused += len(readings)
	for _, reading := range readings {
		selection.Add(endpoints[slices.Index(names, reading.Name())], reading)
	}
	return len(readings) > 0
}

// Purpose returns what the probes of the tier are for.
func (selection *Selection) Purpose() pacer.Purpose {
	switch {
	case selection.tier.lastResort:
		return pacer.LastResort
	case selection.tier.additional:
		return pacer.Additional
	case selection.distant:
		return pacer.Distant
	}
	return pacer.Nearest
}

// Step is what to do for the report of an endpoint.
type Step struct {
	endpoint definer.Endpoint
	action   pacer.Action
}

// Endpoint returns the endpoint.
func (step Step) Endpoint() definer.Endpoint { return step.endpoint }

// Action returns what to do.
func (step Step) Action() pacer.Action { return step.action }

// Plan returns the steps for the tier. Reports that are used again are added already.
func (selection *Selection) Plan(now time.Time) []Step {
	var steps []Step
	var targets []pacer.Target
	for _, endpoint := range selection.tier.endpoints {
		if selection.has(endpoint.Name()) {
			continue
		}
		connected := selection.placer.connections == nil || selection.placer.connections.HasIdle(endpoint)
		targets = append(targets, pacer.NewTarget(endpoint.Name(), connected))
		steps = append(steps, Step{endpoint: endpoint})
	}
	for index, action := range selection.pacer.Plan(now, selection.phase, selection.Purpose(), targets, len(selection.endpoints)) {
		steps[index].action = action
		if reading, ok := selection.pacer.Read(now, steps[index].endpoint.Name()); ok && action == pacer.Reuse {
			selection.Add(steps[index].endpoint, reading)
			selection.reused++
		}
	}
	return steps
}

// has reports whether the selection has a report of the endpoint called name.
func (selection *Selection) has(name string) bool {
	return slices.ContainsFunc(selection.endpoints, func(endpoint definer.Endpoint) bool { return endpoint.Name() == name })
}

// Add adds a report of an endpoint, unless the selection has one.
func (selection *Selection) Add(endpoint definer.Endpoint, reading pacer.Reading) {
	if !selection.has(endpoint.Name()) {
		selection.endpoints = append(selection.endpoints, endpoint)
		selection.readings = append(selection.readings, reading)
	}
}

// Compare chooses among the endpoints with a report, each with the requests that the host
// has assigned to it since.
func (selection *Selection) Compare(now time.Time) {
	selection.candidates, selection.seen = nil, make(map[string]uint64, len(selection.endpoints))
	selection.permitted = nil
	for index, endpoint := range selection.endpoints {
		report, seen := selection.pacer.Current(selection.readings[index])
		selection.seen[endpoint.Name()] = seen
		candidate := NewCandidate(endpoint, report)
		selection.candidates = append(selection.candidates, candidate)
		if selection.permitter == nil || selection.permitter.Permits(now, endpoint) {
			selection.permitted = append(selection.permitted, candidate)
		}
	}
	selection.choice = selection.placer.Choose(now, selection.permitted, selection.request)
}

// End records what the search has shown about the places of the endpoints.
func (selection *Selection) End(now time.Time) {
	probed := len(selection.all) - len(selection.tiers)
	selection.placer.RecordRound(now, selection.all, probed, selection.permitted, selection.request)
}
