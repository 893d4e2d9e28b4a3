package connector

import (
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Calls counts the calls made to one service of the platform. A waiting watch
// is one call; an answer of another kind than Unknown or Unavailable is no
// error.
type Calls struct {
	reads   metrics.Counter
	writes  metrics.Counter
	watches metrics.Counter
	// stale are reads that may be behind; the platform takes a tenth for one.
	stale metrics.Counter
	// renewals are counted apart, since the platform takes a tenth for one.
	renewals metrics.Counter
	errors   metrics.Counter
	// failing is when the first of the calls failed that failed in a row until
	// now, in nanoseconds since 1970; 0 where the last call was answered.
	failing *atomic.Int64
}

// newCalls returns counters, registered below prefix where registry is not nil.
func newCalls(registry metrics.Registry, prefix string) Calls {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter(prefix+"."+name, registry)
	}
	return Calls{
		reads:    counter("reads"),
		writes:   counter("writes"),
		watches:  counter("watches"),
		stale:    counter("stale-reads"),
		renewals: counter("renewals"),
		errors:   counter("errors"),
		failing:  new(atomic.Int64),
	}
}

// note takes in whether a call was answered.
func (calls *Calls) note(answered bool, now time.Time) {
	if answered {
		calls.failing.Store(0)
		return
	}
	calls.errors.Inc(1)
	calls.failing.CompareAndSwap(0, now.UnixNano())
}

// Read counts a read.
func (calls *Calls) Read() { calls.reads.Inc(1) }

// StaleRead counts a read that may be behind.
func (calls *Calls) StaleRead() { calls.stale.Inc(1) }

// Write counts a write.
func (calls *Calls) Write() { calls.writes.Inc(1) }

// Watch counts a watch.
func (calls *Calls) Watch() { calls.watches.Inc(1) }

// Renewal counts the renewal of a lease.
func (calls *Calls) Renewal() { calls.renewals.Inc(1) }

// Renewals returns how many renewals of leases were sent.
func (calls *Calls) Renewals() int64 { return calls.renewals.Count() }

// FailingSince returns since when no call was answered, or false where the
// last one was.
func (calls *Calls) FailingSince() (time.Time, bool) {
	since := calls.failing.Load()
	return time.Unix(0, since), since != 0
}

// Reads returns how many reads were sent.
func (calls *Calls) Reads() int64 { return calls.reads.Count() }

// Writes returns how many writes were sent, those of leases among them.
func (calls *Calls) Writes() int64 { return calls.writes.Count() }

// Watches returns how many watches were sent.
func (calls *Calls) Watches() int64 { return calls.watches.Count() }

// Errors returns how many calls failed as Unknown or Unavailable.
func (calls *Calls) Errors() int64 { return calls.errors.Count() }
