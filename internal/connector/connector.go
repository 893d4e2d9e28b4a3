// Package connector is the client of the platform's key-value store and host
// list, for the daemons; package platform builds its own store client on
// [Caller].
//
// The store and the host list serve JSON over HTTP as described in
// docs/STAND-INS.md. The package counts every call, bounds it by a timeout and
// has no goroutines beyond those of net/http. Packages that use it declare the
// small interfaces that they need; [Store] and [HostList] satisfy them.
package connector

import (
	"fmt"

	"github.com/chivespool/chivespool/internal/definer"
)

// Entry is the value of a key in the store.
type Entry struct {
	data []byte
	// version rises with each write of the key in an era; 0 means that the key doesn't
	// exist.
	version uint64
	// era is the era of the store that version belongs to; 0 for a store without eras.
	era uint64
}

// NewEntry returns an entry.
func NewEntry(data []byte, version uint64) Entry { return Entry{data: data, version: version} }

// Data returns the value, which callers must not modify.
func (entry Entry) Data() []byte { return entry.data }

// Version returns the version, or 0 if the key doesn't exist.
func (entry Entry) Version() uint64 { return entry.version }

// WithEra returns a copy whose version belongs to an era of the store.
func (entry Entry) WithEra(era uint64) Entry {
	entry.era = era
	return entry
}

// Point returns the version with its era, by which entries of a key can be compared.
func (entry Entry) Point() definer.Point { return definer.NewPoint(entry.era, entry.version) }

// ErrorKind classifies failed calls by what the caller may conclude.
type ErrorKind int

const (
	// Unknown means that a write may or may not have taken effect.
	Unknown ErrorKind = iota
	// Unavailable means that the call had no effect.
	Unavailable
	// Conflict means that the key is at another version; nothing was written.
	Conflict
	// Unchanged means that a watch ended with the key at the given version.
	Unchanged
	// TooLarge means that the value exceeds the store's limit of 1 MB.
	TooLarge
	// Compacted means that the store no longer holds the requested changes.
	Compacted
	// LeaseExpired means that the lease has expired or was released.
	LeaseExpired
)

// String returns the kind in kebab case.
func (errorKind ErrorKind) String() string {
	return [...]string{"unknown", "unavailable", "conflict", "unchanged", "too-large", "forgotten", "ended"}[errorKind]
}

// CallError is a failed call to the platform.
type CallError struct {
	kind      ErrorKind
	operation string
	cause     error
}

// NewError returns the failure of operation; cause may be nil.
func NewError(kind ErrorKind, operation string, cause error) *CallError {
	return &CallError{kind: kind, operation: operation, cause: cause}
}

// Kind returns what the caller may conclude.
func (callError *CallError) Kind() ErrorKind { return callError.kind }

// Unwrap returns the cause, or nil.
func (callError *CallError) Unwrap() error { return callError.cause }

// Error names the operation, the kind and the remedy.
func (callError *CallError) Error() string {
	text := fmt.Sprintf("platform: %s: %s; %s", callError.operation, callError.kind, remedies[callError.kind])
	if callError.cause != nil {
		text += ": " + callError.cause.Error()
	}
	return text
}

var remedies = map[ErrorKind]string{
	Unknown:      "read the key back to learn whether the write took effect",
	Unavailable:  "try again later; the call had no effect",
	Conflict:     "read the key again and redo the change on the newer value",
	Unchanged:    "watch again",
	TooLarge:     "split the value; the store holds up to 1 MB",
	Compacted:    "read everything anew",
	LeaseExpired: "take a new lease",
}
