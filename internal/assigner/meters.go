package assigner

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivespool/chivespool/internal/placer"
	"github.com/chivespool/chivespool/internal/router"
)

// meters holds the metrics of the shares of accounts. The zero value records nothing.
type meters struct {
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
// "assigner.". Call it before the first use.
func (assigner *Assigner) SetRegistry(registry metrics.Registry) {
	assigner.meters = meters{
		rejected:      metrics.GetOrRegisterCounter("assigner.rejected", registry),
		heldBack:      metrics.GetOrRegisterCounter("assigner.rejected.held-back", registry),
		aboveShare:    metrics.GetOrRegisterCounter("assigner.rejected.above-share", registry),
		starved:       metrics.GetOrRegisterCounter("assigner.starved", registry),
		returned:      metrics.GetOrRegisterCounter("assigner.returned", registry),
		rejectedAgain: metrics.GetOrRegisterCounter("assigner.returned.rejected", registry),
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
