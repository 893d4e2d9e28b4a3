// Package submitter applies the committee's commands to the state in the
// platform's store. Package administrator calls it.
//
// A submitter reads the head, calls package arbiter to decide, and writes the
// result by compare-and-swap. If the reply to a write is lost, it looks up the
// command's id to find the outcome, and returns a [SubmitError] if it finds none.
// It starts no goroutine.
package submitter

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chivespool/chivespool/internal/arbiter"
	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
)

// Store reads, writes and deletes entries of the platform's store.
type Store interface {
	Get(ctx context.Context, key string) (connector.Entry, error)
	CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (connector.Entry, error)
	Delete(ctx context.Context, key string, version uint64) error
}

// Configurations holds the configuration in force on this host.
type Configurations interface {
	Current() *definer.Configuration
	Adopt(update encoder.Update) error
}

const (
	// CommandTimeout limits one command; the operator then gets an error.
	CommandTimeout = 8 * time.Second
	// retryPause is the average wait after a failed attempt.
	retryPause = 100 * time.Millisecond
	// compactThresholdBytes is the size of the steps above which the head is
	// compacted.
	compactThresholdBytes = 8 << 10
)

// ErrorKind is the reason why a command has no outcome.
type ErrorKind int

const (
	// NotAccepted means that the command had no effect.
	NotAccepted ErrorKind = iota
	// NotKnown means that the command may have been applied, at most once.
	NotKnown
)

// String returns the kind in kebab case.
func (errorKind ErrorKind) String() string {
	return [...]string{"not-accepted", "not-known-yet"}[errorKind]
}

// SubmitError is the error of a command without an outcome because of a failure
// of the store.
type SubmitError struct {
	kind  ErrorKind
	id    string
	cause error
}

// Kind returns whether the command had no effect or an unknown one.
func (submitError *SubmitError) Kind() ErrorKind { return submitError.kind }

// Unwrap returns the error of the store.
func (submitError *SubmitError) Unwrap() error { return submitError.cause }

// Error returns the command's id, the kind, the cause and the remedy.
func (submitError *SubmitError) Error() string {
	remedy := "nothing changed; send it again when the store answers"
	if submitError.kind == NotKnown {
		remedy = fmt.Sprintf("ask again with: outcome %s; sending it again with the same id never applies it twice", submitError.id)
	}
	return fmt.Sprintf("command %s: %s: %v; %s", submitError.id, submitError.kind, submitError.cause, remedy)
}

// Submitter applies commands to the state in the store. It is safe for
// concurrent use.
type Submitter struct {
	store          Store
	configurations Configurations
	// bootstrap is the key that may create the first committee, or nil.
	bootstrap ed25519.PublicKey
}

// New returns a submitter.
func New(store Store, configurations Configurations, bootstrap ed25519.PublicKey) *Submitter {
	return &Submitter{store: store, configurations: configurations, bootstrap: bootstrap}
}

// Submit applies command and returns its outcome. It returns an
// [arbiter.CommandError] if the rules refuse the command, and a [SubmitError] if
// it has no effect or an unknown outcome because of a failure of the store.
func (submitter *Submitter) Submit(ctx context.Context, command arbiter.Command) (arbiter.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, CommandTimeout)
	defer cancel()
	submission := submission{Submitter: submitter, command: command}
	var failure error
	for ctx.Err() == nil {
		outcome, err := submission.attempt(ctx)
		var refused *arbiter.CommandError
		if err == nil || errors.As(err, &refused) {
			return outcome, err
		}
		failure = err
		pause(ctx, retryPause/2+rand.N(retryPause))
	}
	kind := NotAccepted
	if submission.writePending {
		kind = NotKnown
	}
	return arbiter.Outcome{}, &SubmitError{kind: kind, id: command.ID(), cause: failure}
}

// State reads the committee's current state from the store.
func (submitter *Submitter) State(ctx context.Context) (arbiter.State, error) {
	ctx, cancel := context.WithTimeout(ctx, CommandTimeout)
	defer cancel()
	loaded, err := submitter.load(ctx)
	return loaded.state, err
}

// submission is the submission of one command, over several attempts.
type submission struct {
	*Submitter
	command arbiter.Command
	// writePending is true while a write whose reply was lost may still take
	// effect: until the head is newer than pendingVersion.
	writePending bool
	// pendingVersion is the version that the pending write replaces.
	pendingVersion uint64
}

// attempt makes one attempt: it reads the state, decides and writes the result.
func (submission *submission) attempt(ctx context.Context) (arbiter.Outcome, error) {
	loaded, err := submission.load(ctx)
	if err != nil {
		return arbiter.Outcome{}, err
	}
	submission.adopt(loaded.state)
	if outcome, ok := loaded.state.Outcome(submission.command.ID()); ok {
		return outcome, nil
	}
	if loaded.version > submission.pendingVersion {
		submission.writePending = false
	}
	state, err := submission.prepareBase(ctx, loaded)
	if err != nil {
		return arbiter.Outcome{}, err
	}
	next, outcome, err := arbiter.Decide(state, submission.command, time.Now())
	// Do not wrap err: Submit would return this refusal as the result, but the
	// pending write may have applied the command.
	if err != nil && submission.writePending {
		return arbiter.Outcome{}, fmt.Errorf("an earlier write may yet take effect: %v", err)
	}
	if err != nil {
		return arbiter.Outcome{}, err
	}
	if err := submission.write(ctx, loaded.version, next); err != nil {
		return arbiter.Outcome{}, err
	}
	submission.adopt(next)
	return outcome, nil
}

func (submission *submission) write(ctx context.Context, version uint64, state arbiter.State) error {
	data, err := encoder.MarshalHead(state.Head)
	if err != nil {
		return err
	}
	_, err = submission.store.CompareAndSwap(ctx, encoder.HeadKey, version, data)
	if isKind(err, connector.Unknown) {
		submission.writePending = true
		submission.pendingVersion = version
	}
	if err != nil {
		return fmt.Errorf("write the configuration: %w", err)
	}
	return nil
}

// adopt puts the state's configuration in force on this host, unless a newer one
// is.
func (submitter *Submitter) adopt(state arbiter.State) {
	if err := submitter.configurations.Adopt(encoder.NewUpdate(nil, state.Steps())); err == nil {
		return
	}
	// A complete configuration applies to any history, so this can't fail.
	_ = submitter.configurations.Adopt(encoder.NewUpdate(state.Configuration(), nil))
}

func isKind(err error, kind connector.ErrorKind) bool {
	var failure *connector.CallError
	return errors.As(err, &failure) && failure.Kind() == kind
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
