package messenger

import "fmt"

// ErrorKind classifies failed calls by what the caller may conclude.
type ErrorKind int

// The kinds of failed call. The zero value, Broken, promises nothing about the effect.
const (
	// Broken means that the peer may have executed the request.
	Broken ErrorKind = iota
	// Unreachable means that the request did not reach the peer.
	Unreachable
	// Refused means that the peer replied and did not execute the request.
	Refused
	// Failed means that the peer replied with a failure during execution.
	Failed
)

// String returns the kind in kebab case.
func (errorKind ErrorKind) String() string {
	return [...]string{"broken", "unreachable", "refused", "failed"}[errorKind]
}

// CallError is the failure of a call, or the failure that a [Handler] returns.
type CallError struct {
	kind ErrorKind
	// host is the name of the called peer.
	host string
	// reason is the failure kind that the peer sent, in kebab case, or empty.
	reason string
	cause  error
}

// NewError returns a failure for a [Handler] to return. reason is a kebab-case
// identifier by which the caller can tell failures apart.
func NewError(kind ErrorKind, reason string, cause error) *CallError {
	return &CallError{kind: kind, reason: reason, cause: cause}
}

// Kind returns what the caller may conclude.
func (callError *CallError) Kind() ErrorKind { return callError.kind }

// Host returns the name of the called peer.
func (callError *CallError) Host() string { return callError.host }

// Reason returns the failure kind that the peer sent, or empty.
func (callError *CallError) Reason() string { return callError.reason }

// Unwrap returns the cause.
func (callError *CallError) Unwrap() error { return callError.cause }

// Error names the peer, the kind, the cause and the remedy.
func (callError *CallError) Error() string {
	return fmt.Sprintf("peer %s: %s %s: %v; %s", callError.host, callError.kind, callError.reason,
		callError.cause, remedies[callError.kind])
}

var remedies = map[ErrorKind]string{
	Broken:      "ask the peer what became of the request, or do what is safe twice",
	Unreachable: "ask another host, or again later",
	Refused:     "mend the cause and ask again",
	Failed:      "look at the peer's time line",
}
