// Package registrar decides who may run an operation that must not run twice.
// A [Ledger] holds the claims of one shard of keys; package claimer reads it
// from the platform's store, lets it rule on a batch of requests, and writes it
// back by one compare-and-swap, whose version is the only fence.
//
// The package does no I/O, starts no goroutine and imports no codec; time is an
// argument. Package encoder turns a Ledger into bytes and back.
package registrar

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// hashSize is how many bytes of a hash are kept: with 128 bits, no two keys
// meet by accident, and if they did, the second would be refused, never run.
const hashSize = 16

// Key names an operation: the hash of a service's name and a caller's
// idempotency key.
type Key [hashSize]byte

// NewKey returns the key of an operation of service.
func NewKey(service, key string) Key {
	hash := sha256.New()
	hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(service))))
	hash.Write([]byte(service))
	hash.Write([]byte(key))
	return Key(hash.Sum(nil)[:hashSize])
}

// Prefix returns the first 8 bytes as a number, for indexes in memory.
func (key Key) Prefix() uint64 { return binary.BigEndian.Uint64(key[:]) }

// Shard returns which of count shards holds key.
func (key Key) Shard(count int) int {
	return int(binary.BigEndian.Uint64(key[hashSize-8:]) % uint64(count))
}

// Digest identifies the request that a key was first used with.
type Digest [hashSize]byte

// ClaimID identifies one attempt to claim a key, unique over all hosts and
// time. Whoever made it and finds it in the store holds the claim.
type ClaimID [hashSize]byte

// State is how far a claimed operation has come.
type State int

// The states of a record.
const (
	// Claimed means that the operation may have been sent to a backend server.
	Claimed State = iota
	// Done means that the operation ran and its answer is recorded.
	Done
	// Released means that the operation was not run and may be claimed again.
	Released
)

// Record is what a ledger holds of one operation.
type Record struct {
	key    Key
	digest Digest
	// id is the attempt that the claim was granted to.
	id     ClaimID
	state  State
	answer Answer
	// expires is in whole seconds; the record counts until then.
	expires time.Time
}

// NewRecord returns a record, as read from the store.
func NewRecord(key Key, digest Digest, id ClaimID, state State, answer Answer, expires time.Time) Record {
	return Record{key: key, digest: digest, id: id, state: state, answer: answer, expires: expires}
}

// Key returns the operation's key.
func (record Record) Key() Key { return record.key }

// Digest returns the digest of the request that claimed the key.
func (record Record) Digest() Digest { return record.digest }

// ID returns the attempt that the claim was granted to.
func (record Record) ID() ClaimID { return record.id }

// State returns how far the operation has come.
func (record Record) State() State { return record.state }

// Answer returns the recorded answer; it is the zero Answer unless Done.
func (record Record) Answer() Answer { return record.answer }

// Expires returns until when the record counts.
func (record Record) Expires() time.Time { return record.expires }

// recordOverhead bounds the encoded bytes of a record without its answer.
const recordOverhead = 80

// size bounds the encoded bytes of the record.
func (record Record) size() int { return recordOverhead + record.answer.size() }
