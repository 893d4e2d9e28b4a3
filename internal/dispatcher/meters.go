package dispatcher

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivespool/chivespool/internal/refuser"
)

// meters holds the dispatcher's metrics. The zero value records nothing.
type meters struct {
	registry metrics.Registry
	requests metrics.Counter
	retries  metrics.Counter
	hedges   metrics.Counter
	// silences counts the attempts whose endpoint was silent for longer than the request's
	// work explains, and silenceRepeats those of them that were repeated.
	silences, silenceRepeats metrics.Counter
	// queued is the time that attempts waited for a slot.
	queued metrics.Timer
	// added is the time that the dispatcher adds to requests: the total until the head
	// of the answer, less the waits for a slot and for the backend server.
	added metrics.Timer
}

// SetRegistry registers the dispatcher's metrics in registry, under names that
// begin with "dispatcher.".
func (dispatcher *Dispatcher) SetRegistry(registry metrics.Registry) {
	dispatcher.meters = meters{
		registry: registry,
		requests: metrics.GetOrRegisterCounter("dispatcher.requests", registry),
		retries:  metrics.GetOrRegisterCounter("dispatcher.retries", registry),
		hedges:   metrics.GetOrRegisterCounter("dispatcher.hedges", registry),
		silences: metrics.GetOrRegisterCounter("dispatcher.silences", registry),
		queued:   metrics.GetOrRegisterTimer("dispatcher.queued", registry),
		added:    metrics.GetOrRegisterTimer("dispatcher.added", registry),

		silenceRepeats: metrics.GetOrRegisterCounter("dispatcher.silences.repeated", registry),
	}
}

func (meters *meters) request() {
	if meters.requests != nil {
		meters.requests.Inc(1)
	}
}

func (meters *meters) retry() {
	if meters.retries != nil {
		meters.retries.Inc(1)
	}
}

func (meters *meters) hedge() {
	if meters.hedges != nil {
		meters.hedges.Inc(1)
	}
}

func (meters *meters) silence(repeated bool) {
	if meters.silences == nil {
		return
	}
	meters.silences.Inc(1)
	if repeated {
		meters.silenceRepeats.Inc(1)
	}
}

func (meters *meters) refusal(kind refuser.Kind) {
	if meters.registry != nil {
		metrics.GetOrRegisterCounter("dispatcher.refused."+string(kind), meters.registry).Inc(1)
	}
}

func (meters *meters) wait(queued time.Duration) {
	if meters.queued != nil {
		meters.queued.Update(queued)
	}
}

func (meters *meters) done(added time.Duration) {
	if meters.added != nil {
		meters.added.Update(added)
	}
}
