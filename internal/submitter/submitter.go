// Package submitter joins the committee's decisions to the platform's store:
// it reads the head, lets package arbiter decide, and writes the result by
// compare-and-swap. It settles a lost reply by looking for the command's id,
// and says so where it can't.
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

// Store is what the submitter uses of the platform's store.
type Store interface {
	Get(ctx context.Context, key string) (connector.Entry, error)
	CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (connector.Entry, error)
	Delete(ctx context.Context, key string, version uint64) error
}

// Configurations is where the configuration in force is kept.
type Configurations interface {
	Current() *definer.Configuration
	Adopt(update encoder.Update) error
}

const (
	// Timeout bounds one command, so that an operator learns what is known.
	Timeout = 8 * time.Second
	// retryPause is the wait after a failed call of the store.
	retryPause = 100 * time.Millisecond
	// compactBytes is the size of the steps at which the head gets a new base.
	compactBytes = 8 << 10
)

// ErrorKind sorts why the outcome of a command can't be told.
type ErrorKind int

const (
	// NotAccepted means that the command surely had no effect.
	NotAccepted ErrorKind = iota
	// NotKnown means that the command may have been taken in, once.
	NotKnown
)

// String returns the kind in kebab case.
func (errorKind ErrorKind) String() string {
	return [...]string{"not-accepted", "not-known-yet"}[errorKind]
}

// SubmitError says that the store kept a command from its outcome.
type SubmitError struct {
	kind  ErrorKind
	id    string
	cause error
}

// Kind returns what is known of the command.
func (submitError *SubmitError) Kind() ErrorKind { return submitError.kind }

// Unwrap returns the store's failure.
func (submitError *SubmitError) Unwrap() error { return submitError.cause }

// Error says what is known and how to go on.
func (submitError *SubmitError) Error() string {
	remedy := "nothing changed; send it again when the store answers"
	if submitError.kind == NotKnown {
		remedy = fmt.Sprintf("ask again with: outcome %s; sending it again with the same id never applies it twice", submitError.id)
	}
	return fmt.Sprintf("command %s: %s: %v; %s", submitError.id, submitError.kind, submitError.cause, remedy)
}

// Submitter takes commands to the store. It is safe for several goroutines.
type Submitter struct {
	store          Store
	configurations Configurations
	// bootstrap is the key that may make the first committee; nil for none.
	bootstrap ed25519.PublicKey
}

// New returns a submitter.
func New(store Store, configurations Configurations, bootstrap ed25519.PublicKey) *Submitter {
	return &Submitter{store: store, configurations: configurations, bootstrap: bootstrap}
}

// Submit takes command in and returns what became of it. It fails with an
// [arbiter.CommandError] where the rules refuse it, and with an [SubmitError] where the
// store leaves it without effect or its outcome unknown.
func (submitter *Submitter) Submit(ctx context.Context, command arbiter.Command) (arbiter.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
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
	if submission.pending {
		kind = NotKnown
	}
	return arbiter.Outcome{}, &SubmitError{kind: kind, id: command.ID(), cause: failure}
}

// State returns the committee's state as the store has it now.
func (submitter *Submitter) State(ctx context.Context) (arbiter.State, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	loaded, err := submitter.load(ctx)
	return loaded.state, err
}

// submission is one command on its way to the store.
type submission struct {
	*Submitter
	command arbiter.Command
	// pending is true while a write whose reply was lost may yet take effect.
	// It can't any more once the head is past version.
	pending bool
	version uint64
}

// attempt reads, decides and writes once.
func (submission *submission) attempt(ctx context.Context) (arbiter.Outcome, error) {
	loaded, err := submission.load(ctx)
	if err != nil {
		return arbiter.Outcome{}, err
	}
	submission.tell(loaded.state)
	if outcome, ok := loaded.state.Outcome(submission.command.ID()); ok {
		return outcome, nil
	}
	if loaded.version > submission.version {
		submission.pending = false
	}
	state, err := submission.rebase(ctx, loaded)
	if err != nil {
		return arbiter.Outcome{}, err
	}
	next, outcome, err := arbiter.Decide(state, submission.command, time.Now())
	// Not wrapped: this refusal is not the outcome while a write is pending.
	if err != nil && submission.pending {
		return arbiter.Outcome{}, fmt.Errorf("an earlier write may yet take effect: %v", err)
	}
	if err != nil {
		return arbiter.Outcome{}, err
	}
	if err := submission.write(ctx, loaded.version, next); err != nil {
		return arbiter.Outcome{}, err
	}
	submission.tell(next)
	return outcome, nil
}

func (submission *submission) write(ctx context.Context, version uint64, state arbiter.State) error {
	data, err := encoder.MarshalHead(state.Head)
	if err != nil {
		return err
	}
	_, err = submission.store.CompareAndSwap(ctx, encoder.HeadKey, version, data)
	if isKind(err, connector.Unknown) {
		submission.pending = true
		submission.version = version
	}
	if err != nil {
		return fmt.Errorf("write the configuration: %w", err)
	}
	return nil
}

// tell puts the state's configuration in force on this host. A host that is
// further already stays there.
func (submitter *Submitter) tell(state arbiter.State) {
	if err := submitter.configurations.Adopt(encoder.NewUpdate(nil, state.Steps())); err == nil {
		return
	}
	// A whole configuration follows on any history, so this can't fail.
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
