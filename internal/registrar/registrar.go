// Package registrar decides which attempt may run an operation that must run at
// most once, for package claimer. A [Ledger] holds the claims of one shard of
// keys.
//
// Package claimer reads a Ledger from the platform's store, applies a batch of
// requests to it, and writes it back by one compare-and-swap, whose version is
// the only fence. Package encoder encodes and decodes a Ledger. This package does
// no I/O, starts no goroutine and imports no codec; time is an argument.
package registrar

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// hashSize is the length in bytes of a truncated hash. At 128 bits an accidental
// collision is negligible, and would only refuse the second operation.
const hashSize = 16

// Key identifies an operation: the hash of a service's name and a caller's
// idempotency key.
type Key [hashSize]byte

// NewKey returns the key of the operation that a caller of service named key.
func NewKey(service, key string) Key {
	hash := sha256.New()
	hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(service))))
	hash.Write([]byte(service))
	hash.Write([]byte(key))
	return Key(hash.Sum(nil)[:hashSize])
}

// Prefix returns the first 8 bytes as a number, for in-memory indexes.
func (key Key) Prefix() uint64 { return binary.BigEndian.Uint64(key[:]) }

// Shard returns the index, out of count shards, of the shard that holds key.
func (key Key) Shard(count int) int {
	return int(binary.BigEndian.Uint64(key[hashSize-8:]) % uint64(count))
}

// Digest identifies the contents of the request that first used a key.
type Digest [hashSize]byte

// ClaimID identifies one attempt to claim a key; it is unique over all hosts and
// time. An attempt that finds its own id in the store holds the claim.
type ClaimID [hashSize]byte

// State is the state of a claimed operation.
type State int

// The states of a record.
const (
	// Claimed means that the operation may have been sent to a backend server.
	Claimed State = iota
	// Done means that the operation ran and its answer is recorded.
	Done
	// Released means that the operation did not run and may be claimed again.
	Released
)

// Record is the ledger's record of one operation.
type Record struct {
	key    Key
	digest Digest
	// id identifies the attempt that holds the claim.
	id     ClaimID
	state  State
	answer Answer
	// expires is in whole seconds.
	expires time.Time
}

// NewRecord returns a record with the given fields.
func NewRecord(key Key, digest Digest, id ClaimID, state State, answer Answer, expires time.Time) Record {
	return Record{key: key, digest: digest, id: id, state: state, answer: answer, expires: expires}
}

// Key returns the operation's key.
func (record Record) Key() Key { return record.key }

// Digest returns the digest of the request that claimed the key.
func (record Record) Digest() Digest { return record.digest }

// ID returns the id of the attempt that holds the claim.
func (record Record) ID() ClaimID { return record.id }

// State returns the state of the operation.
func (record Record) State() State { return record.state }

// Answer returns the recorded answer, or the zero Answer unless the state is Done.
func (record Record) Answer() Answer { return record.answer }

// Expires returns when the record expires.
func (record Record) Expires() time.Time { return record.expires }

// recordOverhead bounds the encoded bytes of a record without its answer.
const recordOverhead = 80

// size returns an upper bound on the encoded bytes of the record.
func (record Record) size() int { return recordOverhead + record.answer.size() }
