package assigner

import (
	"github.com/rcrowley/go-metrics"

	"github.com/chivespool/chivespool/internal/pacer"
)

// meters holds the assigner's metrics. The zero value records nothing.
type meters struct {
	registry metrics.Registry
	// joined counts reports from probes that were under way, reused those used again, and
	// skipped the probes that were not worth their price.
	joined, reused, skipped metrics.Counter
	// collisions counts choices that were made again since another request was assigned to
	// the endpoint.
	collisions metrics.Counter
}

// SetRegistry registers the assigner's metrics in registry, under names that begin with
// "assigner.".
func (assigner *Assigner) SetRegistry(registry metrics.Registry) {
	assigner.meters = meters{
		registry:   registry,
		joined:     metrics.GetOrRegisterCounter("assigner.reports.joined", registry),
		reused:     metrics.GetOrRegisterCounter("assigner.reports.reused", registry),
		skipped:    metrics.GetOrRegisterCounter("assigner.probes.skipped", registry),
		collisions: metrics.GetOrRegisterCounter("assigner.collisions", registry),
	}
}

// probe counts a probe by its reason.
func (meters *meters) probe(purpose pacer.Purpose, phase pacer.Phase) {
	if meters.registry == nil {
		return
	}
	reason := purpose.String()
	if phase != pacer.Arriving {
		reason = "waiting-" + reason
	}
	metrics.GetOrRegisterCounter("assigner.probes."+reason, meters.registry).Inc(1)
}

func (meters *meters) join() {
	if meters.joined != nil {
		meters.joined.Inc(1)
	}
}

func (meters *meters) reuse(count int) {
	if meters.reused != nil {
		meters.reused.Inc(int64(count))
	}
}

func (meters *meters) skip() {
	if meters.skipped != nil {
		meters.skipped.Inc(1)
	}
}

func (meters *meters) collision() {
	if meters.collisions != nil {
		meters.collisions.Inc(1)
	}
}
