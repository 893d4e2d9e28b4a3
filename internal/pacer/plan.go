package pacer

import "time"

// Action is what a selection does for the report of an endpoint.
type Action int

// The actions.
const (
	// Skip leaves the endpoint out: a probe is not worth its price.
	Skip Action = iota
	// Reuse uses the last report.
	Reuse
	// Join waits for a probe that is under way.
	Join
	// Probe sends a probe.
	Probe
)

// Phase is the phase of a request that looks for an endpoint.
type Phase int

// The phases of a request.
const (
	// Arriving is the first search of a request.
	Arriving Phase = iota
	// Leading is a search after a wait, for all requests that wait for the service.
	Leading
	// Following is a search after a wait, with the reports of the leading request.
	Following
)

// phaseValues are the values of a probe by phase, as a share of that for an arriving
// request. Most rounds find what the round before found. A following request sends a probe
// only where the leading one, which may be allowed other regions, left no report.
var phaseValues = [...]float64{Arriving: 1, Leading: 0.3, Following: 0}

// Target is an endpoint that may be probed.
type Target struct {
	name string
	// connected is true if a probe needs no new connection.
	connected bool
}

// NewTarget returns the endpoint called name; connected is true if there is an idle
// connection to it.
func NewTarget(name string, connected bool) Target { return Target{name: name, connected: connected} }

// value returns the value of the probe at index of a tier, without an earlier report.
func value(phase Phase, purpose Purpose, index int) float64 {
	value := values[purpose] * phaseValues[phase]
	if index > 0 {
		value *= furtherValue
	}
	return value
}

// Plan returns the actions for the endpoints of a tier, in the order of preference, for a
// selection that has reports of answered endpoints so far. The actions are those of the
// highest value; a selection without any report sends one probe at any price.
func (pacer *Pacer) Plan(now time.Time, phase Phase, purpose Purpose, targets []Target, answered int) []Action {
	pacer.mu.Lock()
	defer pacer.mu.Unlock()
	price := pacer.price(now)
	actions := make([]Action, len(targets))
	for index, target := range targets {
		actions[index] = pacer.action(now, value(phase, purpose, index), target, price)
		if actions[index] != Skip {
			answered++
		}
	}
	if answered == 0 && len(actions) > 0 {
		actions[0] = Probe
	}
	return actions
}

// action returns the action for one endpoint, given the value of a probe without an
// earlier report; mu is held.
func (pacer *Pacer) action(now time.Time, value float64, target Target, price float64) Action {
	record, known := pacer.records[target.name]
	usable := known && record.usable(now)
	if usable {
		value *= staleness(now.Sub(record.receivedAt))
	}
	switch {
	case usable && value < price:
		return Reuse
	case known && record.underWay > 0 && now.Sub(record.beganAt) <= joinTime:
		return Join
	case target.connected && value >= price || value >= max(price, connectionPrice):
		return Probe
	case usable:
		return Reuse
	}
	return Skip
}

// Reusable returns the last reports of endpoints that are recent enough to be used without
// a probe: a probe of a further endpoint is not worth its price.
//
// This holds for requests that wait too: one that is sent to a slot that another host has
// taken meanwhile loses more than a round of probes costs.
func (pacer *Pacer) Reusable(now time.Time, names []string) []Reading {
	pacer.mu.Lock()
	defer pacer.mu.Unlock()
	price := pacer.price(now)
	var reusable []Reading
	for _, name := range names {
		record, known := pacer.records[name]
		if known && record.usable(now) && values[Additional]*staleness(now.Sub(record.receivedAt)) < price {
			reusable = append(reusable, record.reading(name))
		}
	}
	return reusable
}
