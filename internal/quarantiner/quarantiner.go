// Package quarantiner keeps a request that crashes each backend server that
// runs it from walking through the pools: over all entry hosts it crashes at
// most two, then it is refused. Package suspecter decides; this package keeps
// the list of suspects in the platform's store, changes it by compare-and-swap
// and tells the other hosts, so that a request that is no suspect is admitted
// without asking anybody.
package quarantiner

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/suspecter"
)

// storeKey is where the store holds the list of suspects.
const storeKey = "chivespool/suspects"

// Store is the part of the platform's store that the list needs.
type Store interface {
	// Get returns a key's entry, at version 0 where there is none.
	Get(ctx context.Context, key string) (connector.Entry, error)
	// CompareAndSwap writes a key that is at version; 0 for none.
	CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (connector.Entry, error)
}

// Announcer tells the other entry hosts.
type Announcer interface {
	// Announce returns once [Quarantiner.Hear] has taken list on every live
	// host, or an error when one could not be reached before ctx was done.
	Announce(ctx context.Context, list []byte) error
}

// Admission is the leave to run a request.
type Admission struct{ isolated bool }

// Isolated reports whether the request is a suspect on trial: it must run
// beside no other suspect on its endpoint.
func (admission Admission) Isolated() bool { return admission.isolated }

// Quarantiner holds what this host knows of suspects. The zero value is ready
// once it has a store; it follows the list while Run is on.
type Quarantiner struct {
	store     Store
	announcer Announcer
	limits    Limits
	// known is the list that Admit looks at; it is replaced, never changed.
	known atomic.Pointer[suspecter.List]
	// wake tells Run that there is something to write; it holds one token.
	wake chan struct{}
	// begin reads the list before the first request is admitted.
	begin sync.Once
	// start makes wake and seed at the first use.
	start sync.Once
	seed  [8]byte
	count atomic.Uint64
	// writing holds one token, for the one write in flight.
	writing chan struct{}
	// mu guards the fields below.
	mu sync.Mutex
	// recorded is the newest list of the store that this host saw, at version.
	recorded *suspecter.List
	version  uint64
	// unrecorded are crashes that the store is not known to hold.
	unrecorded []crash
	// endings are changes that Run writes, such as a suspicion that ended.
	endings []change
	// trials holds the trials that this host runs.
	trials map[suspecter.Fingerprint]suspecter.ID
	// changed is closed and replaced when known changes.
	changed chan struct{}
}

// crash is one crash of a backend server under a request.
type crash struct {
	fingerprint suspecter.Fingerprint
	id          suspecter.ID
	at          time.Time
}

// SetStore sets the store; call it before any other method.
func (quarantiner *Quarantiner) SetStore(store Store) { quarantiner.store = store }

// SetAnnouncer sets the way to the other hosts; without, they poll the store.
func (quarantiner *Quarantiner) SetAnnouncer(announcer Announcer) { quarantiner.announcer = announcer }

// SetLimits sets the limits; call it before Run and Admit.
func (quarantiner *Quarantiner) SetLimits(limits Limits) { quarantiner.limits = limits }

// Admit lets a request run, or refuses it as not run. Each admitted request
// must be ended by exactly one of Completed, Crashed, Unsent and Lost. It does
// no I/O for a request that is no suspect; for a suspect it waits for its trial
// as long as ctx and the limits allow.
func (quarantiner *Quarantiner) Admit(ctx context.Context, fingerprint [32]byte) (Admission, error) {
	known := quarantiner.known.Load()
	if known == nil {
		known = quarantiner.first(ctx)
	}
	short := suspecter.Fingerprint(fingerprint[:16])
	suspect, ok := known.Find(short, time.Now())
	if !ok {
		return Admission{}, nil
	}
	if suspect.Deadly() {
		return Admission{}, deadly()
	}
	return quarantiner.try(ctx, short)
}

// Crashed records that a backend server crashed while it ran the request. It
// returns once the other hosts know, within the limits; only then may the
// caller get its answer, so that a re-send to any host meets the suspicion.
// After an error this host refuses the request and goes on recording.
func (quarantiner *Quarantiner) Crashed(ctx context.Context, fingerprint [32]byte) error {
	limits := quarantiner.prepare()
	ctx, cancel := context.WithTimeout(ctx, limits.patience)
	defer cancel()
	crash := crash{fingerprint: suspecter.Fingerprint(fingerprint[:16]), id: quarantiner.newID(), at: time.Now()}
	quarantiner.forget(crash.fingerprint)
	quarantiner.suspect(crash)
	err := quarantiner.record(ctx)
	if err != nil {
		quarantiner.nudge()
	}
	if quarantiner.announce(ctx) != nil && err == nil {
		// A host that can't be told reads the store within this time.
		sleep(ctx, limits.poll)
	}
	return err
}

// Completed says that a backend server answered the request.
func (quarantiner *Quarantiner) Completed(fingerprint [32]byte) {
	short := suspecter.Fingerprint(fingerprint[:16])
	known := quarantiner.known.Load()
	if known == nil {
		return
	}
	if _, ok := known.Find(short, time.Now()); ok {
		quarantiner.end(short, change{kind: endSuspicion, fingerprint: short})
	}
}

// Unsent says that the request was not sent to a backend server.
func (quarantiner *Quarantiner) Unsent(fingerprint [32]byte) {
	short := suspecter.Fingerprint(fingerprint[:16])
	if trial, ok := quarantiner.trial(short); ok {
		quarantiner.end(short, change{kind: giveBack, fingerprint: short, trial: trial})
	}
}

// Lost says that it is not known what became of the request, as after a
// cancellation. A trial stays taken until the suspicion ends, since its server
// may yet crash.
func (quarantiner *Quarantiner) Lost(fingerprint [32]byte) {
	quarantiner.forget(suspecter.Fingerprint(fingerprint[:16]))
}

// deadly refuses a request that crashed as many servers as it may.
func deadly() error {
	return refuser.New(refuser.KindDeadlyRequest, refuser.NotRun,
		"equal requests crashed 2 backend servers; this one was not run")
}

// prepare makes what the zero value lacks.
func (quarantiner *Quarantiner) prepare() Limits {
	quarantiner.start.Do(func() {
		// crypto/rand never fails.
		_, _ = rand.Read(quarantiner.seed[:])
		quarantiner.wake = make(chan struct{}, 1)
		quarantiner.writing = make(chan struct{}, 1)
		quarantiner.limits = quarantiner.limits.orDefault()
		quarantiner.mu.Lock()
		defer quarantiner.mu.Unlock()
		quarantiner.recorded = &suspecter.List{}
		quarantiner.trials = make(map[suspecter.Fingerprint]suspecter.ID)
		quarantiner.changed = make(chan struct{})
	})
	return quarantiner.limits
}

// newID returns an id that no other crash or trial ever had.
func (quarantiner *Quarantiner) newID() suspecter.ID {
	quarantiner.prepare()
	id := append(quarantiner.seed[:len(quarantiner.seed):len(quarantiner.seed)], make([]byte, 8)...)
	binary.BigEndian.PutUint64(id[len(quarantiner.seed):], quarantiner.count.Add(1))
	return suspecter.ID(id)
}
