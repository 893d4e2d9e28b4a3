package tracker

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// timing derives the durations of a tracker from the bound within which a
// change must be in force everywhere.
type timing struct {
	bound time.Duration
}

// Shares of the bound. A change waits for the next read of the store, then passes
// through three levels of the tree. A host that receives no update reads the
// store itself in time.
const (
	// readShare is the time between two reads by the fleet's reader.
	readShare = 0.25
	// levelShare is the time that the hosts of each level wait longer than those
	// of the level above before they read the store themselves.
	levelShare = 0.13
	// retryShare is the time between two failed reads at the top of the tree.
	// Each level below waits twice as long as the one above, so that an outage
	// costs few calls and the top still notices its end soon.
	retryShare = 0.2
	// holdShare is the longest time for which a reply to a peer is held back.
	holdShare = 0.3
	// overdueShare is the time by which a freshness check may be late before it
	// is overdue.
	overdueShare = 0.07
	// exclusionShare is the length of the exclusion of a peer that did not
	// answer. overdueExclusionShare is that of a peer whose freshness check is
	// overdue; it is longer, since a failure between a host and the store mostly
	// lasts. disconnectedExclusionShare replaces it on a host that can't read the
	// store either.
	exclusionShare             = 1
	overdueExclusionShare      = 3
	disconnectedExclusionShare = 0.5
	// overdueHoldShare is the time for which a reply is held back once the
	// freshness check is overdue; it is short, since another peer may have a
	// newer check.
	overdueHoldShare = 0.1
)

// share returns a share of the bound.
func (timing timing) share(share float64) time.Duration {
	return time.Duration(share * float64(timing.bound))
}

// maxStaleness returns the age of the last freshness check at which a host at a
// depth reads the store itself.
func (timing timing) maxStaleness(at depth) time.Duration {
	if at == depthFleet {
		return timing.share(readShare)
	}
	return timing.share(readShare + levelShare*float64(at))
}

// retryDelay returns the wait after a failed read.
func (timing timing) retryDelay(at depth) time.Duration { return timing.share(retryShare) << at }

// maxHold returns how long a reply to a peer is held back at most.
func (timing timing) maxHold() time.Duration { return timing.share(holdShare) }

// overdueAge returns the age at which the freshness check of a host at a depth is
// overdue: the host can't read the store or hangs, and its children look for
// another parent.
func (timing timing) overdueAge(at depth) time.Duration {
	return timing.maxStaleness(at) + timing.share(overdueShare)
}

// holdTime returns how long a host at a depth holds a reply back while its
// freshness check has an age. The hold ends at the latest when the check becomes
// overdue, so that the reply shows that.
func (timing timing) holdTime(at depth, age time.Duration) time.Duration {
	if left := timing.overdueAge(at) - age; left > 0 {
		return min(left, timing.maxHold())
	}
	return timing.share(overdueHoldShare)
}

// fetchTimeout bounds a request to a peer.
func (timing timing) fetchTimeout() time.Duration { return 2 * timing.maxHold() }

// Poller is the task that reads the store.
type Poller struct{ tracker *Tracker }

// Poller returns the task that reads the store.
func (tracker *Tracker) Poller() *Poller { return &Poller{tracker: tracker} }

// Run reads the store whenever the last freshness check is older than
// maxStaleness allows at the host's depth, until ctx is done.
func (poller *Poller) Run(ctx context.Context) error {
	var retry time.Time
	for ctx.Err() == nil {
		if poller.wait(ctx, retry) {
			retry = poller.read(ctx)
		}
	}
	return nil
}

// wait blocks until the next read is due and returns true, or returns false if a
// freshness check is recorded or ctx is done before.
func (poller *Poller) wait(ctx context.Context, retry time.Time) bool {
	tracker := poller.tracker
	now := tracker.clock.Now()
	at, _ := tracker.position(now)
	tracker.mu.Lock()
	due := tracker.due(at)
	renewed := tracker.renewed
	tracker.mu.Unlock()
	if due.Before(retry) {
		due = retry
	}
	// The timer does not run while the machine is suspended, so that it must be short.
	left := due.Sub(now)
	timer := time.NewTimer(min(left, tracker.timing.share(readShare)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return !tracker.clock.Now().Before(due)
	case <-renewed:
		return false
	case <-ctx.Done():
		return false
	}
}

// due returns the time of the host's next read. Before the first freshness
// check, a host at a lower level leaves its peers time to send one. The caller
// holds mu.
func (tracker *Tracker) due(at depth) time.Time {
	switch {
	case !tracker.checkedAt.IsZero():
		return tracker.checkedAt.Add(tracker.timing.maxStaleness(at))
	case tracker.firstCopyAt.IsZero():
		return time.Time{}
	case at == depthFleet:
		return tracker.lastScanAt.Add(aloneInterval)
	}
	return tracker.firstCopyAt.Add(tracker.timing.maxStaleness(at))
}

// read reads the store once. After a failure it returns the time of the next
// attempt, otherwise the zero time.
func (poller *Poller) read(ctx context.Context) time.Time {
	tracker := poller.tracker
	start := tracker.clock.Now()
	err := tracker.read(ctx, start)
	if ctx.Err() != nil {
		return time.Time{}
	}
	tracker.mu.Lock()
	changed := tracker.disconnected != (err != nil)
	tracker.disconnected = err != nil
	if err != nil {
		tracker.failedAt = tracker.clock.Now()
		tracker.meters.failedRead()
	}
	if outage := tracker.timing.share(overdueExclusionShare); changed && err != nil && start.Sub(tracker.exclusionsClearedAt) > outage {
		tracker.exclusionsClearedAt = start
		// The excluded peers may have been cut off by the same failure of the
		// store. Any of them may be the first to read it again, most likely the
		// one that reads most often.
		clear(tracker.excludedUntil)
	}
	tracker.mu.Unlock()
	if err == nil {
		if changed {
			tracker.journal.Change("store reachable again", "era", tracker.point().Era(), "revision", tracker.point().Revision())
		}
		return time.Time{}
	}
	if changed {
		tracker.journal.Change("store read failed", "error", err, "proof-age", tracker.Age(start))
	}
	wait := tracker.timing.retryDelay(tracker.baseDepth())
	return tracker.clock.Now().Add(wait/2 + rand.N(wait/2))
}

// Puller is the task that fetches updates from the host's parent.
type Puller struct{ tracker *Tracker }

// Puller returns the task that fetches updates from the host's parent.
func (tracker *Tracker) Puller() *Puller { return &Puller{tracker: tracker} }

// Run fetches updates from the host's parent until ctx is done.
func (puller *Puller) Run(ctx context.Context) error {
	tracker := puller.tracker
	var last string
	var checks uint64
	for ctx.Err() == nil {
		name := tracker.parent(tracker.clock.Now())
		if name == "" {
			puller.waitIdle(ctx)
			continue
		}
		if name != last {
			last, checks = name, 0
			tracker.journal.Change("fetching updates from peer", "peer", last)
		}
		checks = puller.pull(ctx, name, checks)
	}
	return nil
}

// parent returns the name of the peer to ask, or "" for none. A host without a
// copy asks a seed only after its own read has failed: where the store answers, a
// scan costs less than a copy from a seed, which a whole fleet may ask at once.
func (tracker *Tracker) parent(now time.Time) string {
	if _, parent := tracker.position(now); parent.Name() != "" {
		return parent.Name()
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if !tracker.checkedAt.IsZero() || !tracker.firstCopyAt.IsZero() || !tracker.disconnected {
		return ""
	}
	for index := range tracker.seeds {
		// Hosts begin with different seeds, since many may start together.
		name := tracker.seeds[(index+tracker.seedOffset())%len(tracker.seeds)]
		if !now.Before(tracker.excludedUntil[name]) {
			return name
		}
	}
	return ""
}

// seedOffset returns the index of the seed that the host asks first.
func (tracker *Tracker) seedOffset() int {
	return int(xxhash.Sum64String(tracker.self.Name()) % uint64(len(tracker.seeds)))
}

// seedRetryShare is the part of the bound after which a host without a copy
// checks again whether it may ask a seed.
const seedRetryShare = 0.05

// waitIdle waits, on a host without a parent, until the next freshness check or
// until it is time to look for a parent again.
func (puller *Puller) waitIdle(ctx context.Context) {
	tracker := puller.tracker
	tracker.mu.Lock()
	renewed := tracker.renewed
	wait := tracker.timing.maxHold()
	if tracker.firstCopyAt.IsZero() {
		wait = tracker.timing.share(seedRetryShare)
	}
	tracker.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-renewed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pull fetches one update from host. It returns the number of host's freshness
// checks, or 0 if the fetch failed or host was excluded.
func (puller *Puller) pull(ctx context.Context, host string, checks uint64) uint64 {
	tracker := puller.tracker
	bound, cancel := context.WithTimeout(ctx, tracker.timing.fetchTimeout())
	defer cancel()
	start := tracker.clock.Now()
	update, err := tracker.peers.Fetch(bound, host, tracker.point(), checks)
	now := tracker.clock.Now()
	if err != nil {
		if ctx.Err() == nil {
			tracker.journal.Change("fetch from peer failed", "peer", host, "error", err, "proof-age", tracker.Age(now))
			tracker.exclude(now, host, exclusionShare)
		}
		return 0
	}
	tracker.applyUpdate(now, update.inTransit(now.Sub(start)))
	if update.age >= neverAge && tracker.point().Revision() == 0 {
		tracker.exclude(now, host, exclusionShare) // The seed has no copy; another may.
		return 0
	}
	if at, _ := tracker.position(now); at > depthFleet && update.age > tracker.timing.overdueAge(at-1) && update.age < neverAge {
		tracker.journal.Change("peer's freshness check is overdue", "peer", host, "age", update.age, "era", update.point.Era(), "revision", update.point.Revision())
		tracker.exclude(now, host, tracker.overdueExclusion())
		return 0
	}
	return update.checks
}

// overdueExclusion returns the length of the exclusion of a peer whose
// freshness check is overdue, as a multiple of the bound. It is short on a host
// that can't read the store: all hosts may have lost the store, so it tries its
// peers in turn.
func (tracker *Tracker) overdueExclusion() float64 {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.disconnected {
		return disconnectedExclusionShare
	}
	return overdueExclusionShare
}

// exclude excludes a peer for a share of the bound.
func (tracker *Tracker) exclude(now time.Time, host string, share float64) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.excludedUntil[host] = now.Add(tracker.timing.share(share))
}
