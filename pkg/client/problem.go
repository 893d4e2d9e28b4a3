package client

import (
	"fmt"
	"time"
)

// ProblemType is the media type of a refusal (RFC 9457).
const ProblemType = "application/problem+json"

// RanNo is what a refusal says of a request that was truly not run.
const RanNo = "no"

// Problem is a refusal by chivespool as a problem document.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Kind   string `json:"kind"`
	// Ran is no or unknown.
	Ran          string `json:"ran"`
	Remedy       string `json:"remedy"`
	RetryAfterMs int64  `json:"retry-after-ms,omitempty"`
}

// NotRun reports whether the request was truly not run.
func (problem *Problem) NotRun() bool { return problem.Ran == RanNo }

// RetryAfter returns how long to wait before a retry, or 0.
func (problem *Problem) RetryAfter() time.Duration {
	return time.Duration(problem.RetryAfterMs) * time.Millisecond
}

// Error names the kind, whether the request ran, and the remedy.
func (problem *Problem) Error() string {
	return fmt.Sprintf("%s: %s (ran: %s); %s", problem.Kind, problem.Detail, problem.Ran, problem.Remedy)
}

// OutcomeUnknownError says that a request may have run and that its answer
// did not arrive whole.
type OutcomeUnknownError struct {
	// address is empty where several entry hosts were tried.
	address string
	cause   error
}

// Address returns the entry host that the request was sent to, or empty where
// there were several.
func (outcomeUnknownError *OutcomeUnknownError) Address() string { return outcomeUnknownError.address }

// Unwrap returns what went wrong.
func (outcomeUnknownError *OutcomeUnknownError) Unwrap() error { return outcomeUnknownError.cause }

// Error names the entry host, the cause and the remedy.
func (outcomeUnknownError *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: the answer of entry host %s did not arrive whole; "+
		"look up whether the work took effect, or send it again with the same Idempotency-Key: %v", outcomeUnknownError.address, outcomeUnknownError.cause)
}

// UnreachableError says that no entry host took the request: it did not run.
type UnreachableError struct {
	service string
	cause   error
}

// Service returns the name of the service asked for.
func (unreachableError *UnreachableError) Service() string { return unreachableError.service }

// Unwrap returns the last failure.
func (unreachableError *UnreachableError) Unwrap() error { return unreachableError.cause }

// Error names the service, the cause and the remedy.
func (unreachableError *UnreachableError) Error() string {
	return fmt.Sprintf("no entry host took the request for %s, it did not run; "+
		"check the entry addresses and send it again: %v", unreachableError.service, unreachableError.cause)
}
