package tracker

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// pace derives the times of a tracker from the bound within which a change must
// be in force everywhere.
type pace struct {
	bound time.Duration
}

// How the bound is spent: a change waits for the next reading, then goes down
// three levels of the tree; a host that hears nothing reads for itself in time.
const (
	// readShare is the part of the bound between two readings of the fleet.
	readShare = 0.25
	// patienceShare is the part of the bound that each level waits longer than
	// the one above before it reads for itself.
	patienceShare = 0.13
	// failShare is the part of the bound between two readings that fail, at the
	// top of the tree; each level below waits twice as long as the one above, so
	// that an outage costs few calls and its end is still seen at once.
	failShare = 0.2
	// holdShare is the part of the bound for which a reply to a peer is held back.
	holdShare = 0.3
	// overdueShare is the part of the bound by which a proof may be late.
	overdueShare = 0.07
	// outShare is for how many times the bound a peer is passed over that did not
	// answer, and overdueOutShare one whose proof was overdue: what keeps a host
	// from the store mostly lasts.
	outShare        = 1
	overdueOutShare = 3
	blindOutShare   = 0.5
	// overdueHoldShare is the part of the bound for which a reply is held back
	// whose proof is overdue: another peer may have a better one.
	overdueHoldShare = 0.1
)

func (pace pace) share(share float64) time.Duration {
	return time.Duration(share * float64(pace.bound))
}

// patience returns how old a proof may grow at a depth before the host reads
// the store itself.
func (pace pace) patience(at depth) time.Duration {
	if at == depthFleet {
		return pace.share(readShare)
	}
	return pace.share(readShare + patienceShare*float64(at))
}

// retry returns how long to wait after a reading that failed.
func (pace pace) retry(at depth) time.Duration { return pace.share(failShare) << at }

// hold returns for how long a reply to a peer is held back at most.
func (pace pace) hold() time.Duration { return pace.share(holdShare) }

// overdue returns how old the proof of a host at a depth may be before the hosts
// below look for another one: it can't read the store, or it hangs.
func (pace pace) overdue(at depth) time.Duration {
	return pace.patience(at) + pace.share(overdueShare)
}

// holdAt returns for how long the reply of a host at a depth whose proof is of
// some age is held back: it tells in time that the proof is overdue.
func (pace pace) holdAt(at depth, age time.Duration) time.Duration {
	if left := pace.overdue(at) - age; left > 0 {
		return min(left, pace.hold())
	}
	return pace.share(overdueHoldShare)
}

// fetch bounds a question to a peer.
func (pace pace) fetch() time.Duration { return 2 * pace.hold() }

// Poller is the task that reads the store.
type Poller struct{ tracker *Tracker }

// Poller returns the task that reads the store.
func (tracker *Tracker) Poller() *Poller { return &Poller{tracker: tracker} }

// Run reads the store whenever the proof is older than the host's depth in the
// tree allows, until ctx is done.
func (poller *Poller) Run(ctx context.Context) error {
	var retry time.Time
	for ctx.Err() == nil {
		if poller.wait(ctx, retry) {
			retry = poller.read(ctx)
		}
	}
	return nil
}

// wait waits until the proof has grown old or is renewed, and reports which.
func (poller *Poller) wait(ctx context.Context, retry time.Time) bool {
	tracker := poller.tracker
	now := time.Now()
	at, _ := tracker.place(now)
	tracker.mu.Lock()
	due := tracker.due(at)
	renewed := tracker.renewed
	tracker.mu.Unlock()
	if due.Before(retry) {
		due = retry
	}
	timer := time.NewTimer(due.Sub(now))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-renewed:
		return false
	case <-ctx.Done():
		return false
	}
}

// due returns when the host at a depth reads next. Before its first proof, a
// host whose peers may have one gives them time. The caller holds mu.
func (tracker *Tracker) due(at depth) time.Time {
	switch {
	case !tracker.proved.IsZero():
		return tracker.proved.Add(tracker.pace.patience(at))
	case tracker.begun.IsZero():
		return time.Time{}
	case at == depthFleet:
		return tracker.looked.Add(aloneInterval)
	}
	return tracker.begun.Add(tracker.pace.patience(at))
}

// read makes one reading and returns before when there is to be no other.
func (poller *Poller) read(ctx context.Context) time.Time {
	tracker := poller.tracker
	start := time.Now()
	err := tracker.read(ctx, start)
	if ctx.Err() != nil {
		return time.Time{}
	}
	tracker.mu.Lock()
	changed := tracker.blind != (err != nil)
	tracker.blind = err != nil
	if err != nil {
		tracker.failed = time.Now()
	}
	if outage := tracker.pace.share(overdueOutShare); changed && err != nil && start.Sub(tracker.lost) > outage {
		tracker.lost = start
		// What was overdue may have been the store's fault: the first to read it
		// again may be any peer, and most likely the one that reads most often.
		clear(tracker.out)
	}
	tracker.mu.Unlock()
	if err == nil {
		if changed {
			tracker.journal.Learned("store is back", "revision", tracker.revision())
		}
		return time.Time{}
	}
	if changed {
		tracker.journal.Learned("store is lost", "error", err, "proof-age", tracker.Age(start))
	}
	wait := tracker.pace.retry(tracker.rank())
	return time.Now().Add(wait/2 + rand.N(wait/2))
}

// Puller is the task that asks the peer above.
type Puller struct{ tracker *Tracker }

// Puller returns the task that asks the peer above.
func (tracker *Tracker) Puller() *Puller { return &Puller{tracker: tracker} }

// Run asks the peer above until ctx is done.
func (puller *Puller) Run(ctx context.Context) error {
	tracker := puller.tracker
	var last string
	var proof uint64
	for ctx.Err() == nil {
		name := tracker.above(time.Now())
		if name == "" {
			puller.rest(ctx)
			continue
		}
		if name != last {
			last, proof = name, 0
			tracker.journal.Learned("asks a peer", "peer", last)
		}
		proof = puller.pull(ctx, name, proof)
	}
	return nil
}

// above returns the peer to ask now, or none. A host that has had no copy yet
// asks a seed only once its own reading has failed: where the store answers, its
// copies cost less than a seed's, which a whole fleet may ask at once.
func (tracker *Tracker) above(now time.Time) string {
	if _, above := tracker.place(now); above.Name() != "" {
		return above.Name()
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if !tracker.proved.IsZero() || !tracker.begun.IsZero() || !tracker.blind {
		return ""
	}
	for index := range tracker.seeds {
		// Hosts that start together begin with other seeds.
		name := tracker.seeds[(index+tracker.firstSeed())%len(tracker.seeds)]
		if !now.Before(tracker.out[name]) {
			return name
		}
	}
	return ""
}

// firstSeed returns the index of the seed that the host begins with.
func (tracker *Tracker) firstSeed() int {
	return int(xxhash.Sum64String(tracker.self.Name()) % uint64(len(tracker.seeds)))
}

// firstShare is the part of the bound after which a host that knows nothing
// looks again whether it may ask a seed.
const firstShare = 0.05

// rest waits for the next proof of a host that asks nobody.
func (puller *Puller) rest(ctx context.Context) {
	tracker := puller.tracker
	tracker.mu.Lock()
	renewed := tracker.renewed
	wait := tracker.pace.hold()
	if tracker.begun.IsZero() {
		wait = tracker.pace.share(firstShare)
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

// pull asks host once and returns the number of its proof.
func (puller *Puller) pull(ctx context.Context, host string, proof uint64) uint64 {
	tracker := puller.tracker
	bound, cancel := context.WithTimeout(ctx, tracker.pace.fetch())
	defer cancel()
	news, err := tracker.peers.Fetch(bound, host, tracker.revision(), proof)
	now := time.Now()
	if err != nil {
		if ctx.Err() == nil {
			tracker.journal.Learned("peer is lost", "peer", host, "error", err, "proof-age", tracker.Age(now))
			tracker.passOver(now, host, outShare)
		}
		return 0
	}
	tracker.take(now, news)
	if news.age >= never && tracker.revision() == 0 {
		tracker.passOver(now, host, outShare) // A seed that knows nothing; another may.
		return 0
	}
	if at, _ := tracker.place(now); at > depthFleet && news.age > tracker.pace.overdue(at-1) && news.age < never {
		tracker.journal.Learned("peer's proof is overdue", "peer", host, "age", news.age, "revision", news.revision)
		tracker.passOver(now, host, tracker.overdueOut())
		return 0
	}
	return news.proof
}

// overdueOut returns for how many times the bound a peer with an overdue proof
// is passed over. A host that can't read the store itself only tries the others
// in turn: the store may be lost to all.
func (tracker *Tracker) overdueOut() float64 {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.blind {
		return blindOutShare
	}
	return overdueOutShare
}

// passOver leaves a peer alone for a while.
func (tracker *Tracker) passOver(now time.Time, host string, share float64) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.out[host] = now.Add(tracker.pace.share(share))
}
