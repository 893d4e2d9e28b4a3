package messenger

import "fmt"

// ErrorKind sorts failed calls by what the asking side may conclude.
type ErrorKind int

// The kinds of failed call. The zero value is the careful one.
const (
	// Broken means that the request may have been carried out.
	Broken ErrorKind = iota
	// Unreachable means that the request surely did not reach the peer.
	Unreachable
	// Refused means that the peer answered, and surely did not carry it out.
	Refused
	// Failed means that the peer answered with a failure after it began.
	Failed
)

// String returns the kind in kebab case.
func (errorKind ErrorKind) String() string {
	return [...]string{"broken", "unreachable", "refused", "failed"}[errorKind]
}

// CallError is a call that brought no reply, or the failure that a handler returns.
type CallError struct {
	kind ErrorKind
	// host is the peer that was called.
	host string
	// reason is the peer's own kind of failure, in kebab case, or empty.
	reason string
	cause  error
}

// NewError returns a failure for a [Handler] to return: reason is a word in
// kebab case that the asking side can decide on.
func NewError(kind ErrorKind, reason string, cause error) *CallError {
	return &CallError{kind: kind, reason: reason, cause: cause}
}

// Kind returns what may be concluded.
func (callError *CallError) Kind() ErrorKind { return callError.kind }

// Host returns the name of the peer that was called.
func (callError *CallError) Host() string { return callError.host }

// Reason returns the peer's own kind of failure, or empty.
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
