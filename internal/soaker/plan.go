package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of event: a fault or a planned operation.
type Kind string

// The kinds of events.
const (
	StopGateway              Kind = "stop-gateway"
	KillGateway              Kind = "kill-gateway"
	PauseGateway             Kind = "pause-gateway"
	ReloadSettings           Kind = "hang-up"
	KillAll                  Kind = "kill-all"
	StopInTurn               Kind = "stop-in-turn"
	StopAndReload            Kind = "stop-and-hang-up"
	StopTwice                Kind = "stop-twice"
	StoreOutage              Kind = "store-outage"
	StoreSlow                Kind = "store-slow"
	StoreCompacts            Kind = "store-forgets"
	StoreLosesAnswers        Kind = "store-loses-answers"
	StoreRefusesGateway      Kind = "door-refuses"
	StoreThrottlesGateway    Kind = "door-throttles"
	StoreIgnoresGateway      Kind = "door-silent"
	WatchesReset             Kind = "watches-cut"
	StorePathDelayed         Kind = "store-path-delayed"
	StorePathReset           Kind = "store-path-reset"
	StorePathOneWay          Kind = "store-path-one-way"
	StorePathSilent          Kind = "store-path-silent"
	EndpointDelayed          Kind = "endpoint-delayed"
	EndpointReset            Kind = "endpoint-reset"
	EndpointOneWay           Kind = "endpoint-one-way"
	EndpointSilent           Kind = "endpoint-silent"
	EndpointCrash            Kind = "endpoint-crash"
	EndpointReplaced         Kind = "endpoint-replaced"
	EndpointDrains           Kind = "endpoint-drains"
	EndpointTruncatesAnswers Kind = "endpoint-cuts-answers"
	EndpointFails            Kind = "endpoint-fails"
	EndpointFull             Kind = "endpoint-full"
	EndpointHangs            Kind = "endpoint-hangs"
	Evacuate                 Kind = "evacuate"
	Publish                  Kind = "publish"
	PublishStorm             Kind = "publish-storm"
	InvalidEntry             Kind = "foreign-entry"
)

var kinds = []Kind{
	StopGateway, KillGateway, PauseGateway, ReloadSettings, KillAll, StopInTurn, StopAndReload, StopTwice,
	StoreOutage, StoreSlow, StoreCompacts, StoreLosesAnswers, StoreRefusesGateway, StoreThrottlesGateway, StoreIgnoresGateway, WatchesReset,
	StorePathDelayed, StorePathReset, StorePathOneWay, StorePathSilent,
	EndpointDelayed, EndpointReset, EndpointOneWay, EndpointSilent, EndpointCrash, EndpointReplaced, EndpointDrains, EndpointTruncatesAnswers, EndpointFails, EndpointFull, EndpointHangs, Evacuate,
	Publish, PublishStorm, InvalidEntry,
}

// Event is a fault or a planned operation, with its start and its duration.
type Event struct {
	kind     Kind
	at       time.Duration
	duration time.Duration
	// target selects a gateway or a stub supervisor, depending on kind.
	target int
}

// String returns the event in one line.
func (event Event) String() string {
	return fmt.Sprintf("%6.2f s %s %d for %.2f s", event.at.Seconds(), event.kind, event.target, event.duration.Seconds())
}

// Plan holds the events of one soak in the order of their start.
type Plan []Event

// String returns one line for each event.
func (plan Plan) String() string {
	var text strings.Builder
	for _, event := range plan {
		fmt.Fprintln(&text, event)
	}
	return text.String()
}

const (
	// meanGap is the mean time between two events; it is below the usual
	// duration of an event, so that events overlap.
	meanGap = 700 * time.Millisecond
	// minDuration and maxDuration bound the duration of an event.
	minDuration = 100 * time.Millisecond
	maxDuration = 3 * time.Second
	// repeatChance is the probability that an event is repeated, and repeatGap
	// the time between the starts of repeated events.
	repeatChance = 0.3
	repeatGap    = 250 * time.Millisecond
)

// Kinds returns all kinds.
func Kinds() []Kind { return slices.Clone(kinds) }

// RandomPlan returns a random plan of events of the given kinds, which depends
// only on its arguments. All events end within length.
func RandomPlan(seed uint64, kinds []Kind, gateways, endpoints int, length time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, 0))
	var plan Plan
	for at := time.Duration(0); at < length-minDuration; at += time.Duration(random.ExpFloat64() * float64(meanGap)) {
		event := Event{kind: kinds[random.IntN(len(kinds))], at: at, target: random.IntN(gateways * endpoints)}
		event.duration = minDuration + time.Duration(random.Float64()*random.Float64()*float64(maxDuration-minDuration))
		event.duration = min(event.duration, length-event.at)
		plan = append(plan, event)
		for random.Float64() < repeatChance {
			event.at += repeatGap
			if event.at >= length-minDuration {
				break
			}
			event.duration = min(event.duration, length-event.at)
			plan = append(plan, event)
		}
	}
	slices.SortStableFunc(plan, func(left, right Event) int { return int(left.at - right.at) })
	return plan
}
