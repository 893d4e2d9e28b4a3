// Package quarantiner stops a request that crashes backend servers from being
// retried on one server after another: once it has crashed two, all entry hosts
// refuse it. Package dispatcher asks it before each attempt.
//
// Package detector holds the rules. The list of suspects is kept in the
// platform's store, changed by compare-and-swap and announced to the other hosts,
// so that a request that is not a suspect is admitted from a local copy without
// I/O.
//
// Hosts whose limits are without trials run a suspect like any other request, and count
// only crashes that follow each other: those of runs that were admitted before the crash
// of another became known count as one with it. They use a [Group], which divides the
// list, since each host that sees a crash writes it.
package quarantiner

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/detector"
	"github.com/chivespool/chivespool/internal/refuser"
)

// storeKey is the store's key of the list of suspects, and the prefix of the keys of a
// [Group].
const storeKey = "chivespool/suspects"

// Store reads and writes entries of the platform's store.
type Store interface {
	// Get returns the entry of key; its version is 0 if there is none.
	Get(ctx context.Context, key string) (connector.Entry, error)
	// CompareAndSwap writes key if its entry is at version; 0 means none.
	CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (connector.Entry, error)
}

// Announcer sends the list of suspects to the other entry hosts.
type Announcer interface {
	// Announce returns nil once [Quarantiner.Merge] has processed list on every
	// live host, or an error if a host was not reached before ctx was done.
	Announce(ctx context.Context, list []byte) error
}

// Admission is the permission to run a request.
type Admission struct {
	isolated bool
	// newest is the newest crash of the request that was known; zero for none.
	newest detector.ID
}

// Isolated reports whether the request is a suspect on trial. Its endpoint must
// not run another suspect at the same time.
func (admission Admission) Isolated() bool { return admission.isolated }

// Quarantiner admits requests by a local copy of the list of suspects. The zero
// value is ready once its store is set; Run keeps the copy up to date.
type Quarantiner struct {
	// key is the store's key of the list; empty for storeKey.
	key       string
	store     Store
	announcer Announcer
	limits    Limits
	// known is the list that Admit reads; it is replaced, never modified.
	known atomic.Pointer[detector.List]
	// wake makes Run synchronize at once; it holds one token. A [Group] sets it before
	// prepare.
	wake chan struct{}
	// firstRead runs the read before the first request once.
	firstRead sync.Once
	// initialize runs prepare once.
	initialize sync.Once
	idPrefix   [8]byte
	idCount    atomic.Uint64
	// writing holds one token while an update is in flight.
	writing chan struct{}
	// mu guards the fields below.
	mu sync.Mutex
	// recorded is the newest list of the store that this host read or
	// received; point is its version and the era of the store that the version is of.
	recorded *detector.List
	point    definer.Point
	// unrecorded holds the crashes that may not be in the store yet.
	unrecorded []crash
	// queued holds changes for Run to write, such as the end of a suspicion.
	queued []change
	// trials holds the trials granted to this host.
	trials map[detector.Fingerprint]detector.ID
	// changed is closed and replaced whenever known is replaced.
	changed chan struct{}
}

// crash is the crash of a backend server that ran a request.
type crash struct {
	fingerprint detector.Fingerprint
	id          detector.ID
	at          time.Time
}

// SetStore sets the store; call it before any other method.
func (quarantiner *Quarantiner) SetStore(store Store) { quarantiner.store = store }

// SetAnnouncer sets the announcer; without one, the other hosts poll the store.
func (quarantiner *Quarantiner) SetAnnouncer(announcer Announcer) { quarantiner.announcer = announcer }

// SetLimits sets the limits; call it before Run and Admit.
func (quarantiner *Quarantiner) SetLimits(limits Limits) { quarantiner.limits = limits }

// Admit admits a request or refuses it as not run. The caller must end each
// admitted request by exactly one of Completed, Crashed, Unsent and
// OutcomeUnknown. Admit does no I/O for a request that is not a suspect. For a
// suspect it waits for the trial as long as ctx and the limits allow.
func (quarantiner *Quarantiner) Admit(ctx context.Context, fingerprint [32]byte) (Admission, error) {
	known := quarantiner.known.Load()
	if known == nil {
		known = quarantiner.readFirst(ctx)
	}
	short := detector.Fingerprint(fingerprint[:16])
	suspect, ok := known.Find(short, time.Now())
	if !ok {
		return Admission{}, nil
	}
	if suspect.Deadly() {
		return Admission{}, deadlyRequest()
	}
	if quarantiner.prepare().withoutTrials {
		return Admission{newest: suspect.Newest()}, nil
	}
	return quarantiner.acquireTrial(ctx, short)
}

// RecordCrash records that a backend server crashed while it ran a request that was
// admitted by admission. It does not wait: Run writes the crash to the store. Crashes of
// runs whose admissions knew of the same crashes count as one.
func (quarantiner *Quarantiner) RecordCrash(fingerprint [32]byte, admission Admission) {
	quarantiner.prepare()
	short := detector.Fingerprint(fingerprint[:16])
	digest := sha256.Sum256(append(short[:], admission.newest[:]...))
	quarantiner.addUnrecorded(crash{fingerprint: short, id: detector.ID(digest[:16]), at: time.Now()})
}

// Crashed records that a backend server crashed while it ran the request. It
// returns once the other hosts have received the crash, or after the maximum
// wait. The caller must not answer the request before Crashed returns, so that
// every host treats a retry as a suspect. After an error this host still holds
// the request as a suspect, refuses it while the store is unavailable, and
// retries the write in Run.
func (quarantiner *Quarantiner) Crashed(ctx context.Context, fingerprint [32]byte) error {
	limits := quarantiner.prepare()
	ctx, cancel := context.WithTimeout(ctx, limits.maxWait)
	defer cancel()
	crash := crash{fingerprint: detector.Fingerprint(fingerprint[:16]), id: quarantiner.newID(), at: time.Now()}
	quarantiner.removeTrial(crash.fingerprint)
	quarantiner.addUnrecorded(crash)
	err := quarantiner.writeUnrecorded(ctx)
	if err != nil {
		quarantiner.wakeRun()
	}
	if quarantiner.announce(ctx) != nil && err == nil {
		// A host that missed the announcement reads the store within this time.
		sleep(ctx, limits.pollInterval)
	}
	return err
}

// Completed records that a backend server answered the request.
func (quarantiner *Quarantiner) Completed(fingerprint [32]byte) {
	short := detector.Fingerprint(fingerprint[:16])
	known := quarantiner.known.Load()
	if known == nil {
		return
	}
	if _, ok := known.Find(short, time.Now()); ok {
		quarantiner.endTrial(short, change{kind: endSuspicion, fingerprint: short})
	}
}

// Unsent records that the request was not sent to a backend server.
func (quarantiner *Quarantiner) Unsent(fingerprint [32]byte) {
	short := detector.Fingerprint(fingerprint[:16])
	if trial, ok := quarantiner.trial(short); ok {
		quarantiner.endTrial(short, change{kind: releaseTrial, fingerprint: short, trial: trial})
	}
}

// OutcomeUnknown records that the outcome of the request is unknown, as after a
// cancellation. The trial stays taken until the suspicion ends, since the
// server may still crash.
func (quarantiner *Quarantiner) OutcomeUnknown(fingerprint [32]byte) {
	quarantiner.removeTrial(detector.Fingerprint(fingerprint[:16]))
}

// deadlyRequest returns the refusal of a request that has reached
// [detector.MaxCrashes].
func deadlyRequest() error {
	return refuser.New(refuser.KindDeadlyRequest, refuser.NotRun,
		"equal requests crashed 2 backend servers; this one was not run")
}

// prepare initializes the zero value at the first call and returns the limits.
func (quarantiner *Quarantiner) prepare() Limits {
	quarantiner.initialize.Do(func() {
		// crypto/rand never fails.
		_, _ = rand.Read(quarantiner.idPrefix[:])
		quarantiner.key = cmp.Or(quarantiner.key, storeKey)
		if quarantiner.wake == nil {
			quarantiner.wake = make(chan struct{}, 1)
		}
		quarantiner.writing = make(chan struct{}, 1)
		quarantiner.limits = quarantiner.limits.orDefault()
		quarantiner.mu.Lock()
		defer quarantiner.mu.Unlock()
		quarantiner.recorded = &detector.List{}
		quarantiner.trials = make(map[detector.Fingerprint]detector.ID)
		quarantiner.changed = make(chan struct{})
	})
	return quarantiner.limits
}

// newID returns an id unique over all crashes and trials: the random prefix of
// the quarantiner and a counter.
func (quarantiner *Quarantiner) newID() detector.ID {
	quarantiner.prepare()
	id := append(quarantiner.idPrefix[:len(quarantiner.idPrefix):len(quarantiner.idPrefix)], make([]byte, 8)...)
	binary.BigEndian.PutUint64(id[len(quarantiner.idPrefix):], quarantiner.idCount.Add(1))
	return detector.ID(id)
}
