package client

import (
	"fmt"
	"time"
)

// ProblemType is the media type of a refusal (RFC 9457).
const ProblemType = "application/problem+json"

// RanNo is the value of Ran for a request that certainly did not run.
const RanNo = "no"

// Problem is the problem document of a refused request.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Kind   string `json:"kind"`
	// Ran is "no" or "unknown".
	Ran          string `json:"ran"`
	Remedy       string `json:"remedy"`
	RetryAfterMs int64  `json:"retry-after-ms,omitempty"`
}

// NotRun reports whether the request certainly did not run.
func (problem *Problem) NotRun() bool { return problem.Ran == RanNo }

// RetryAfter returns how long to wait before a retry, or 0.
func (problem *Problem) RetryAfter() time.Duration {
	return time.Duration(problem.RetryAfterMs) * time.Millisecond
}

// Error returns the kind, the detail, whether the request ran, and the remedy.
func (problem *Problem) Error() string {
	return fmt.Sprintf("%s: %s (ran: %s); %s", problem.Kind, problem.Detail, problem.Ran, problem.Remedy)
}

// OutcomeUnknownError reports that a request may have run but its response was
// not received completely.
type OutcomeUnknownError struct {
	// address is empty if several entry hosts were tried.
	address string
	cause   error
}

// Address returns the address of the entry host that received the request, or ""
// if several were tried.
func (outcomeUnknownError *OutcomeUnknownError) Address() string { return outcomeUnknownError.address }

// Unwrap returns the cause.
func (outcomeUnknownError *OutcomeUnknownError) Unwrap() error { return outcomeUnknownError.cause }

// Error returns the entry host, the remedy and the cause.
func (outcomeUnknownError *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: incomplete response from entry host %s; "+
		"check whether the request took effect, or send it again with the same Idempotency-Key: %v", outcomeUnknownError.address, outcomeUnknownError.cause)
}

// UnreachableError reports that no entry host accepted the request, so it did not
// run.
type UnreachableError struct {
	service string
	cause   error
}

// Service returns the name of the requested service.
func (unreachableError *UnreachableError) Service() string { return unreachableError.service }

// Unwrap returns the cause.
func (unreachableError *UnreachableError) Unwrap() error { return unreachableError.cause }

// Error returns the service, the remedy and the cause.
func (unreachableError *UnreachableError) Error() string {
	return fmt.Sprintf("no entry host accepted the request for %s, so it did not run; "+
		"check the entry addresses and send it again: %v", unreachableError.service, unreachableError.cause)
}
