// Package verifier finds out which requests crash the endpoints that run them, for the
// dispatcher of a gateway. It feeds package quarantiner, which shares the suspects among
// the hosts and refuses a request that has crashed two endpoints.
//
// A lost connection alone is no crash: endpoints also close, reset and truncate
// connections while they run on. A crash is a lost connection to an endpoint whose
// address then refuses connections. The check runs beside the request, whose answer
// does not wait for it.
package verifier

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/quarantiner"
)

// Limits of the verification.
const (
	// maxPending is the number of lost connections that may wait for their check.
	maxPending = 256
	// checkTimeout limits a check: an address that does not answer in this time is
	// unreachable, which is no crash.
	checkTimeout = 500 * time.Millisecond
	// maxCompleted is the number of requests that are remembered as completed.
	maxCompleted = 1024
)

// Prober sends health checks to endpoints.
type Prober interface {
	Probe(ctx context.Context, endpoint definer.Endpoint) (definer.Report, error)
}

// Journal logs events.
type Journal interface {
	// Change logs a change of what the process knows.
	Change(message string, details ...any)
}

// Verifier tracks the requests of one host. Make one with New.
type Verifier struct {
	*quarantiner.Group
	prober  Prober
	journal Journal
	// pending holds the runs whose connections were lost.
	pending chan dispatcher.Run

	// mu guards the fields below.
	mu sync.Mutex
	// completed holds the requests that have completed lately: they crash no endpoint.
	// order is a ring of its keys, with the oldest at next once it is full.
	completed map[[sha256.Size]byte]bool
	order     [][sha256.Size]byte
	next      int
}

// New returns a verifier that checks endpoints with prober and records crashes in
// group, whose limits must be without trials.
func New(group *quarantiner.Group, prober Prober, journal Journal) *Verifier {
	return &Verifier{
		Group: group, prober: prober, journal: journal,
		pending: make(chan dispatcher.Run, maxPending), completed: make(map[[sha256.Size]byte]bool),
	}
}

// Completed records that an endpoint answered the request.
func (verifier *Verifier) Completed(fingerprint [sha256.Size]byte) {
	verifier.remember(fingerprint)
	verifier.Group.Completed(fingerprint)
}

// Crashed records that the connection to the endpoint of run was lost; Run checks why.
// It never waits or fails.
func (verifier *Verifier) Crashed(_ context.Context, run dispatcher.Run) error {
	if verifier.hasCompleted(run.Fingerprint()) {
		return nil
	}
	select {
	case verifier.pending <- run:
	default:
		verifier.journal.Change("lost connection not checked: too many at once", "endpoint", run.Endpoint().Name())
	}
	return nil
}

// Run checks the endpoints of lost connections until ctx is done.
func (verifier *Verifier) Run(ctx context.Context) error {
	for {
		select {
		case run := <-verifier.pending:
			verifier.check(ctx, verifier.takePending(run))
		case <-ctx.Done():
			return nil
		}
	}
}

// takePending returns first and the other pending runs.
func (verifier *Verifier) takePending(first dispatcher.Run) []dispatcher.Run {
	runs := []dispatcher.Run{first}
	for range len(verifier.pending) {
		runs = append(runs, <-verifier.pending)
	}
	return runs
}

// check records the crashes among runs. It checks each endpoint once, all at the same
// time.
func (verifier *Verifier) check(ctx context.Context, runs []dispatcher.Run) {
	checks := make(map[string]*check)
	for _, run := range runs {
		name := run.Endpoint().Name()
		if checks[name] == nil {
			checks[name] = &check{verifier: verifier, endpoint: run.Endpoint(), done: make(chan struct{})}
			go checks[name].run(ctx)
		}
	}
	for _, run := range runs {
		check := checks[run.Endpoint().Name()]
		<-check.done
		if check.crashed && !verifier.hasCompleted(run.Fingerprint()) {
			fingerprint := run.Fingerprint()
			verifier.journal.Change("endpoint crashed; its request is a suspect", "endpoint", run.Endpoint().Name(),
				"suspect", hex.EncodeToString(fingerprint[:8]))
			verifier.RecordCrash(fingerprint, run.Admission())
		}
	}
}

// check is the health check of one endpoint.
type check struct {
	verifier *Verifier
	endpoint definer.Endpoint
	// done is closed once crashed is known.
	done    chan struct{}
	crashed bool
}

func (check *check) run(ctx context.Context) {
	defer close(check.done)
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	_, err := check.verifier.prober.Probe(ctx, check.endpoint)
	check.crashed = errors.Is(err, syscall.ECONNREFUSED)
}

// remember adds a completed request in place of the oldest.
func (verifier *Verifier) remember(fingerprint [sha256.Size]byte) {
	verifier.mu.Lock()
	defer verifier.mu.Unlock()
	if verifier.completed[fingerprint] {
		return
	}
	verifier.completed[fingerprint] = true
	if len(verifier.order) < maxCompleted {
		verifier.order = append(verifier.order, fingerprint)
		return
	}
	delete(verifier.completed, verifier.order[verifier.next])
	verifier.order[verifier.next] = fingerprint
	verifier.next = (verifier.next + 1) % maxCompleted
}

// hasCompleted reports whether the request has completed lately.
func (verifier *Verifier) hasCompleted(fingerprint [sha256.Size]byte) bool {
	verifier.mu.Lock()
	defer verifier.mu.Unlock()
	return verifier.completed[fingerprint]
}
