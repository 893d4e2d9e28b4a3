package assigner

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivespool/chivespool/internal/pacer"
	"github.com/chivespool/chivespool/internal/placer"
	"github.com/chivespool/chivespool/internal/router"
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
	// rejected counts the requests that got no slot, heldBack those of them that were held
	// back for others, and aboveShare those of them whose account used more than its fair
	// share.
	rejected, heldBack, aboveShare metrics.Counter
	// starved counts the requests that were not held back since their account is seldom
	// served.
	starved metrics.Counter
	// returned counts the requests whose callers were rejected before, while there is
	// pressure, and rejectedAgain those of them that got no slot again.
	returned, rejectedAgain metrics.Counter
}

// SetRegistry registers the assigner's metrics in registry, under names that begin with
// "assigner.".
func (assigner *Assigner) SetRegistry(registry metrics.Registry) {
	assigner.meters = meters{
		registry:      registry,
		joined:        metrics.GetOrRegisterCounter("assigner.reports.joined", registry),
		reused:        metrics.GetOrRegisterCounter("assigner.reports.reused", registry),
		skipped:       metrics.GetOrRegisterCounter("assigner.probes.skipped", registry),
		collisions:    metrics.GetOrRegisterCounter("assigner.collisions", registry),
		rejected:      metrics.GetOrRegisterCounter("assigner.rejected", registry),
		heldBack:      metrics.GetOrRegisterCounter("assigner.rejected.held-back", registry),
		aboveShare:    metrics.GetOrRegisterCounter("assigner.rejected.above-share", registry),
		starved:       metrics.GetOrRegisterCounter("assigner.starved", registry),
		returned:      metrics.GetOrRegisterCounter("assigner.returned", registry),
		rejectedAgain: metrics.GetOrRegisterCounter("assigner.returned.rejected", registry),
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

// recordVerdict records whether a request gets a slot.
func (assigner *Assigner) recordVerdict(request router.Request, placerRequest placer.Request, choice placer.Choice, served bool) {
	assigner.placer.RecordVerdict(time.Now(), request.Pool(), placerRequest, served)
	meters, standing := &assigner.meters, choice.Standing()
	if meters.rejected == nil || request.Hedge() {
		return
	}
	if standing.Starved() {
		meters.starved.Inc(1)
	}
	if standing.Returned() {
		meters.returned.Inc(1)
	}
	if served {
		return
	}
	meters.rejected.Inc(1)
	if standing.Returned() {
		meters.rejectedAgain.Inc(1)
	}
	if standing.HeldBack() {
		meters.heldBack.Inc(1)
		if standing.AboveShare() {
			meters.aboveShare.Inc(1)
		}
	}
}
