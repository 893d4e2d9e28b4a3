package tracker

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// meters holds the tracker's metrics. The zero value records nothing.
type meters struct {
	// staleness is the age that the view had reached at each freshness check.
	staleness metrics.Timer
	// completeReads counts the reads of the whole store, failedReads the reads that
	// got no answer.
	completeReads metrics.Counter
	failedReads   metrics.Counter
	// eraChanges counts the copies that were replaced by one of a later era.
	eraChanges metrics.Counter
}

// SetRegistry registers the tracker's metrics in registry, under names that begin
// with "tracker.". Call it before the tasks run.
func (tracker *Tracker) SetRegistry(registry metrics.Registry) {
	tracker.meters = meters{
		staleness:     metrics.GetOrRegisterTimer("tracker.staleness", registry),
		completeReads: metrics.GetOrRegisterCounter("tracker.reads.complete", registry),
		failedReads:   metrics.GetOrRegisterCounter("tracker.reads.failed", registry),
		eraChanges:    metrics.GetOrRegisterCounter("tracker.eras.changed", registry),
	}
	metrics.NewRegisteredFunctionalGauge("tracker.era", registry, func() int64 {
		return int64(tracker.point().Era())
	})
	metrics.NewRegisteredFunctionalGauge("tracker.age", registry, func() int64 {
		return tracker.Age(tracker.clock.Now()).Nanoseconds()
	})
	metrics.NewRegisteredFunctionalGauge("tracker.endpoints.kept", registry, func() int64 {
		tracker.mu.Lock()
		defer tracker.mu.Unlock()
		return int64(len(tracker.builder.graceUntil))
	})
	metrics.NewRegisteredFunctionalGauge("tracker.endpoints.held-back", registry, func() int64 {
		tracker.mu.Lock()
		defer tracker.mu.Unlock()
		return int64(len(tracker.builder.eras.heldBack))
	})
}

func (meters *meters) check(staleness time.Duration) {
	if meters.staleness != nil {
		meters.staleness.Update(staleness)
	}
}

func (meters *meters) completeRead() {
	if meters.completeReads != nil {
		meters.completeReads.Inc(1)
	}
}

func (meters *meters) failedRead() {
	if meters.failedReads != nil {
		meters.failedReads.Inc(1)
	}
}

func (meters *meters) eraChange() {
	if meters.eraChanges != nil {
		meters.eraChanges.Inc(1)
	}
}
