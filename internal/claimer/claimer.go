// Package claimer ensures that an operation with an idempotency key runs at most
// once across all entry hosts, for package dispatcher.
//
// Package dispatcher claims the key in the platform's store, where the claim
// survives the failure of any entry host, before it sends the operation to a
// backend server. Package registrar decides which attempt holds a claim; this
// package collects requests into batches, in one goroutine for each shard of
// keys, and writes each batch to the store by one compare-and-swap.
package claimer

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/registrar"
	"github.com/chivespool/chivespool/internal/supervisor"
)

// Store provides the operations of the platform's store that claims use.
type Store interface {
	// Get returns the entry of key; its version is 0 if there is none.
	Get(ctx context.Context, key string) (connector.Entry, error)
	// CompareAndSwap writes key if it is at version; version 0 means that it does
	// not exist.
	CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (connector.Entry, error)
	// Delete removes key if it is at version.
	Delete(ctx context.Context, key string, version uint64) error
}

// Hosts lists the entry hosts that can own a shard.
type Hosts interface {
	// Self returns the name of this host.
	Self() string
	// Live returns the names of the hosts that accept requests, including this
	// one.
	Live() []string
}

// Forwarder sends a request to the Claimer of another host.
type Forwarder interface {
	// Forward returns the reply of [Claimer.Serve] on host.
	Forward(ctx context.Context, host string, request []byte) ([]byte, error)
}

// Claimer claims operations. The zero value is ready once it has a store. It
// serves requests while Run is running.
//
// The version that a write to the store is based on is the only fence: safety
// depends on no lease, clock or list of hosts. A request is forwarded to the host
// that owns its shard, so that few hosts write the same value. This only reduces
// contention; a host that can't reach the owner writes the claim itself. The
// claim's id resolves a lost reply: an attempt that finds its own id in the store
// holds the claim, whichever host wrote it.
type Claimer struct {
	store     Store
	hosts     Hosts
	forwarder Forwarder
	limits    Limits
	// start initializes seed, limits and shards at the first use, after the
	// setters.
	start  sync.Once
	shards []*shard
	// seed makes claim ids unique across hosts and restarts.
	seed [8]byte
	// count makes claim ids unique within this process.
	count atomic.Uint64
}

// SetStore sets the store; call it before any other method.
func (claimer *Claimer) SetStore(store Store) { claimer.store = store }

// SetHosts sets the hosts that can own a shard; by default this host owns all
// shards.
func (claimer *Claimer) SetHosts(hosts Hosts) { claimer.hosts = hosts }

// SetForwarder sets the forwarder to other hosts; by default no request is
// forwarded.
func (claimer *Claimer) SetForwarder(forwarder Forwarder) { claimer.forwarder = forwarder }

// SetLimits sets the limits; call it before Run and Claim.
func (claimer *Claimer) SetLimits(limits Limits) { claimer.limits = limits }

// Run serves the shards until ctx is done.
func (claimer *Claimer) Run(ctx context.Context) error {
	var tree supervisor.Tree
	for _, shard := range claimer.allShards() {
		tree.Add(shard.name, shard)
	}
	return tree.Run(ctx)
}

// Claim claims the operation. If the error is nil, the caller has the exclusive
// right to send the operation to a backend server, once, and must settle the
// Claim. Otherwise the error is a [Recorded] or a refuser.Refusal:
//
//   - Recorded: the operation ran before;
//   - KindOutcomeUnknown: it was claimed before, and no outcome is recorded;
//   - KindKeyMismatch: the key was used with another request; not run;
//   - KindClaimsFull, KindOverloaded: a limit on claims is reached; not run;
//   - KindStoreUnavailable: the store is unavailable; not run.
func (claimer *Claimer) Claim(ctx context.Context, operation Operation) (*Claim, error) {
	claim := &Claim{claimer: claimer, operation: operation, id: claimer.newID()}
	decision, err := claimer.submit(ctx, claim.request(registrar.ActClaim, registrar.Answer{}))
	if err != nil {
		claim.abandon()
		return nil, refusalOf(err)
	}
	if decision.Verdict() == registrar.Granted {
		return claim, nil
	}
	return nil, notGranted(decision)
}

// newID returns an id that is unique over all attempts.
func (claimer *Claimer) newID() registrar.ClaimID {
	claimer.allShards()
	id := append(claimer.seed[:len(claimer.seed):len(claimer.seed)], make([]byte, 8)...)
	binary.BigEndian.PutUint64(id[len(claimer.seed):], claimer.count.Add(1))
	return registrar.ClaimID(id)
}

// allShards returns the shards; the first call creates them.
func (claimer *Claimer) allShards() []*shard {
	claimer.start.Do(func() {
		// crypto/rand never fails.
		_, _ = rand.Read(claimer.seed[:])
		claimer.limits = claimer.limits.orDefault()
		for number := range claimer.limits.shards {
			claimer.shards = append(claimer.shards, newShard(number, claimer.store, claimer.limits))
		}
	})
	return claimer.shards
}

// shardOf returns the shard that holds key.
func (claimer *Claimer) shardOf(key registrar.Key) *shard {
	shards := claimer.allShards()
	return shards[key.Shard(len(shards))]
}
