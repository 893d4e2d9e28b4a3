package emulator

import (
	"context"
	"sync"
	"time"
)

// faultSet holds the faults between one caller and a store. The zero value has
// none.
type faultSet struct {
	disposition Disposition
	delay       time.Duration
	// lostReplies is the number of next calls whose reply is lost, and lossLag
	// the delay, from their arrival, until these calls take effect.
	lostReplies  int
	lossLag      time.Duration
	resetWatches bool
	staleness    uint64
	pageLimit    int
}

// FaultOption sets one fault of a FaultInjector.
type FaultOption func(faults *faultSet)

// WithDisposition applies one disposition to every call.
func WithDisposition(disposition Disposition) FaultOption {
	return func(faults *faultSet) { faults.disposition = disposition }
}

// WithDelay delays each call before it takes effect.
func WithDelay(delay time.Duration) FaultOption {
	return func(faults *faultSet) { faults.delay = delay }
}

// WithLostReplies drops the replies to the next count calls, which take effect
// lossLag after their arrival.
func WithLostReplies(count int, lossLag time.Duration) FaultOption {
	return func(faults *faultSet) { faults.lostReplies, faults.lossLag = count, lossLag }
}

// WithWatchResets resets the connections of waiting watches.
func WithWatchResets(faults *faultSet) { faults.resetWatches = true }

// WithStaleReads makes reads that allow staleness lag by a number of revisions.
func WithStaleReads(revisions uint64) FaultOption {
	return func(faults *faultSet) { faults.staleness = revisions }
}

// WithPageLimit replaces the store's limit on the items of a page.
func WithPageLimit(limit int) FaultOption {
	return func(faults *faultSet) { faults.pageLimit = limit }
}

// Disposition is how a fault injector handles one call.
type Disposition int

// The dispositions of a call.
const (
	// Admitted calls are served.
	Admitted Disposition = iota
	// Refused calls have no effect, and the reply says so.
	Refused
	// Throttled calls have no effect; the reply asks for a retry later.
	Throttled
	// Reset calls have no effect; their connections are reset.
	Reset
	// Dropped calls have no effect and get no reply.
	Dropped
	// ReplyLost calls take effect and get no reply.
	ReplyLost
)

// CallCounts counts the calls that reached a fault injector.
type CallCounts struct {
	freshReads, staleReads, writes, renewals, watches int
}

// FreshReads returns the number of reads that do not allow staleness.
func (callCounts CallCounts) FreshReads() int { return callCounts.freshReads }

// StaleReads returns the number of reads that allow staleness.
func (callCounts CallCounts) StaleReads() int { return callCounts.staleReads }

// Writes returns the number of commits and of leases granted and ended.
func (callCounts CallCounts) Writes() int { return callCounts.writes }

// Renewals returns the number of lease renewals.
func (callCounts CallCounts) Renewals() int { return callCounts.renewals }

// Watches returns the number of watches.
func (callCounts CallCounts) Watches() int { return callCounts.watches }

// CallKind is a kind of call that is counted separately.
type CallKind int

// The kinds of calls.
const (
	FreshRead CallKind = iota
	StaleRead
	Write
	Renewal
	Watch
)

// FaultInjector injects faults into the calls of one caller to a store. The zero
// value injects none. It is safe for concurrent use.
type FaultInjector struct {
	// mu guards all fields below.
	mu     sync.Mutex
	faults faultSet
	// faultsChanged is closed and replaced when the faults are set.
	faultsChanged chan struct{}
	calls         CallCounts
}

// SetFaults replaces the faults, with none to clear them, and wakes waiting
// watches.
func (faultInjector *FaultInjector) SetFaults(faults ...FaultOption) {
	faultInjector.mu.Lock()
	defer faultInjector.mu.Unlock()
	faultInjector.faults = faultSet{}
	for _, fault := range faults {
		fault(&faultInjector.faults)
	}
	if faultInjector.faultsChanged != nil {
		close(faultInjector.faultsChanged)
	}
	faultInjector.faultsChanged = nil
}

// LossDelay returns the delay, from their arrival, until calls with a lost reply
// take effect.
func (faultInjector *FaultInjector) LossDelay() time.Duration { return faultInjector.current().lossLag }

// ResetsWatches reports whether the connections of waiting watches are reset.
func (faultInjector *FaultInjector) ResetsWatches() bool { return faultInjector.current().resetWatches }

// Staleness returns the number of revisions by which reads that allow staleness
// lag.
func (faultInjector *FaultInjector) Staleness() uint64 { return faultInjector.current().staleness }

// PageLimit returns the limit on the items of a page, or 0 for the store's own.
func (faultInjector *FaultInjector) PageLimit() int { return faultInjector.current().pageLimit }

func (faultInjector *FaultInjector) current() faultSet {
	faultInjector.mu.Lock()
	defer faultInjector.mu.Unlock()
	return faultInjector.faults
}

// FaultsChanged returns a channel that is closed when the faults are set next.
func (faultInjector *FaultInjector) FaultsChanged() <-chan struct{} {
	faultInjector.mu.Lock()
	defer faultInjector.mu.Unlock()
	if faultInjector.faultsChanged == nil {
		faultInjector.faultsChanged = make(chan struct{})
	}
	return faultInjector.faultsChanged
}

// Calls returns the counts of the calls so far.
func (faultInjector *FaultInjector) Calls() CallCounts {
	faultInjector.mu.Lock()
	defer faultInjector.mu.Unlock()
	return faultInjector.calls
}

// Inject counts a call, waits for the injected delay, and returns the call's
// disposition.
func (faultInjector *FaultInjector) Inject(ctx context.Context, kind CallKind) Disposition {
	faultInjector.mu.Lock()
	faultInjector.count(kind)
	delay := faultInjector.faults.delay
	faultInjector.mu.Unlock()
	pause(ctx, delay)
	faultInjector.mu.Lock()
	defer faultInjector.mu.Unlock()
	if faultInjector.faults.disposition == Admitted && faultInjector.faults.lostReplies > 0 {
		faultInjector.faults.lostReplies--
		return ReplyLost
	}
	return faultInjector.faults.disposition
}

// count counts a call. The caller holds mu.
func (faultInjector *FaultInjector) count(kind CallKind) {
	switch kind {
	case FreshRead:
		faultInjector.calls.freshReads++
	case StaleRead:
		faultInjector.calls.staleReads++
	case Write:
		faultInjector.calls.writes++
	case Renewal:
		faultInjector.calls.renewals++
	case Watch:
		faultInjector.calls.watches++
	}
}
