// Package refuser defines the typed refusals that a caller can receive. The
// packages that process a request return them, and package acceptor encodes them
// as problem documents (RFC 9457).
//
// A refusal says whether the request ran, names a remedy, and may say when to
// retry. The package does no I/O.
package refuser

import (
	"fmt"
	"time"
)

// Ran says whether a refused request ran. The zero value is the safe assumption.
type Ran int

const (
	// Unknown means that the request may have run, once.
	Unknown Ran = iota
	// NotRun means that the request certainly did not run.
	NotRun
)

// String returns "unknown" or "no".
func (ran Ran) String() string {
	if ran == NotRun {
		return "no"
	}
	return "unknown"
}

// Kind identifies a type of refusal, stable across releases, in kebab case.
type Kind string

// The kinds of refusal.
const (
	KindBadRequest       Kind = "bad-request"
	KindUnknownService   Kind = "unknown-service"
	KindNoEndpoint       Kind = "no-endpoint"
	KindOverloaded       Kind = "overloaded"
	KindDeadline         Kind = "deadline-exceeded"
	KindCancelled        Kind = "cancelled"
	KindUnreachable      Kind = "endpoint-unreachable"
	KindOutcomeUnknown   Kind = "outcome-unknown"
	KindDeadlyRequest    Kind = "deadly-request"
	KindStoreUnavailable Kind = "store-unavailable"
	KindKeyMismatch      Kind = "key-mismatch"
	KindClaimsFull       Kind = "claims-full"
	KindLeaving          Kind = "host-leaving"
	KindNoConfiguration  Kind = "no-configuration"
	KindNoRoute          Kind = "no-route"
	KindTooLarge         Kind = "too-large"
	KindHeaderTooLarge   Kind = "header-too-large"
	KindBodyTimeout      Kind = "body-timeout"
	KindUnknownKey       Kind = "unknown-key"
	KindOverQuota        Kind = "over-quota"
)

// Refusal is the error of a request that ends without an answer from a backend
// server.
type Refusal struct {
	kind   Kind
	ran    Ran
	detail string
	// remedy is an imperative sentence for the caller; never empty.
	remedy string
	// retryAfter is 0 if an early retry does not help.
	retryAfter time.Duration
	cause      error
}

// New returns a refusal of kind with the details of this request.
func New(kind Kind, ran Ran, detail string) *Refusal {
	return &Refusal{kind: kind, ran: ran, detail: detail, remedy: remedies[kind]}
}

// WithRetryAfter returns a copy that tells the caller how long to wait before a
// retry.
func (refusal *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	clone := *refusal
	clone.retryAfter = wait
	return &clone
}

// WithCause returns a copy that wraps cause.
func (refusal *Refusal) WithCause(cause error) *Refusal {
	clone := *refusal
	clone.cause = cause
	return &clone
}

// Kind returns the type of refusal.
func (refusal *Refusal) Kind() Kind { return refusal.kind }

// Ran returns whether the request ran.
func (refusal *Refusal) Ran() Ran { return refusal.ran }

// Detail returns what happened to this request.
func (refusal *Refusal) Detail() string { return refusal.detail }

// Remedy returns the action that the caller can take.
func (refusal *Refusal) Remedy() string { return refusal.remedy }

// RetryAfter returns how long to wait before a retry, or 0.
func (refusal *Refusal) RetryAfter() time.Duration { return refusal.retryAfter }

// Unwrap returns the cause.
func (refusal *Refusal) Unwrap() error { return refusal.cause }

// Error returns the kind, the detail, whether the request ran, and the remedy.
func (refusal *Refusal) Error() string {
	text := fmt.Sprintf("%s: %s (ran: %s); %s", refusal.kind, refusal.detail, refusal.ran, refusal.remedy)
	if refusal.cause != nil {
		text += ": " + refusal.cause.Error()
	}
	return text
}

// remedies holds the remedy of each kind.
var remedies = map[Kind]string{
	KindBadRequest:       "correct the request and send it again",
	KindUnknownService:   "check the service's name, or ask an operator to create it",
	KindNoEndpoint:       "ask an operator to add or restore an endpoint of the pool",
	KindOverloaded:       "wait as Retry-After says, then send the request again",
	KindDeadline:         "send the request with a later deadline, or when load is lower",
	KindCancelled:        "send the request again if its result is still wanted",
	KindUnreachable:      "send the request again; it did not reach a backend server",
	KindOutcomeUnknown:   "look up whether the work took effect before you send it again",
	KindDeadlyRequest:    "do not send the request again; report it to the service's owner",
	KindStoreUnavailable: "send the request again when the platform's store answers",
	KindKeyMismatch:      "use a new Idempotency-Key for a different request",
	KindClaimsFull:       "wait until recorded keys expire, or ask an operator to raise claims.most",
	KindLeaving:          "ask where to go again and send the request there",
	KindNoRoute:          "check the host and the path, or ask an operator for a route",
	KindBodyTimeout:      "send the request again, its body without long pauses",
	KindUnknownKey:       "send the request with a valid API key, or ask an operator for one",
	KindOverQuota:        "wait as Retry-After says, or ask an operator to raise the account's quota",
	KindHeaderTooLarge:   "send fewer or shorter headers, or ask an operator to raise the limit",
	KindTooLarge:         "send a smaller request, or ask an operator to raise the limit",
	KindNoConfiguration:  "wait until the host has read the configuration, or ask another host",
}
