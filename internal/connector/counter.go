package connector

import (
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Calls counts the calls to one service of the platform. A watch counts as one
// call, however long it waits. Only failures of the kinds Unknown and Unavailable
// count as errors.
type Calls struct {
	reads   metrics.Counter
	writes  metrics.Counter
	watches metrics.Counter
	// stale counts reads that may return old data; each costs a tenth of a call.
	stale metrics.Counter
	// renewals is separate from writes, since each costs a tenth of a call.
	renewals metrics.Counter
	errors   metrics.Counter
	// failingSince is the time of the first unanswered call since the last answered
	// one, in nanoseconds since 1970; 0 if the last call was answered.
	failingSince *atomic.Int64
}

// newCalls returns counters, registered under prefix if registry is not nil.
func newCalls(registry metrics.Registry, prefix string) Calls {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter(prefix+"."+name, registry)
	}
	return Calls{
		reads:        counter("reads"),
		writes:       counter("writes"),
		watches:      counter("watches"),
		stale:        counter("stale-reads"),
		renewals:     counter("renewals"),
		errors:       counter("errors"),
		failingSince: new(atomic.Int64),
	}
}

// recordResult updates errors and failingSince by whether a call was answered.
func (calls *Calls) recordResult(answered bool, now time.Time) {
	if answered {
		calls.failingSince.Store(0)
		return
	}
	calls.errors.Inc(1)
	calls.failingSince.CompareAndSwap(0, now.UnixNano())
}

// CountRead counts a read.
func (calls *Calls) CountRead() { calls.reads.Inc(1) }

// CountStaleRead counts a read that may return old data.
func (calls *Calls) CountStaleRead() { calls.stale.Inc(1) }

// CountWrite counts a write.
func (calls *Calls) CountWrite() { calls.writes.Inc(1) }

// CountWatch counts a watch.
func (calls *Calls) CountWatch() { calls.watches.Inc(1) }

// CountRenewal counts the renewal of a lease.
func (calls *Calls) CountRenewal() { calls.renewals.Inc(1) }

// Renewals returns the number of lease renewals sent.
func (calls *Calls) Renewals() int64 { return calls.renewals.Count() }

// FailingSince returns the time of the first unanswered call since the last answered
// one, or false if the last call was answered.
func (calls *Calls) FailingSince() (time.Time, bool) {
	since := calls.failingSince.Load()
	return time.Unix(0, since), since != 0
}

// Reads returns the number of reads sent.
func (calls *Calls) Reads() int64 { return calls.reads.Count() }

// Writes returns the number of writes sent, including those of leases.
func (calls *Calls) Writes() int64 { return calls.writes.Count() }

// Watches returns the number of watches sent.
func (calls *Calls) Watches() int64 { return calls.watches.Count() }

// Errors returns the number of calls that failed as Unknown or Unavailable.
func (calls *Calls) Errors() int64 { return calls.errors.Count() }
