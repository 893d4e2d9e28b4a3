// Package claimer sees to it that an operation which a caller named runs at
// most once over all entry hosts. Before such an operation goes to a backend
// server, its key is claimed in the platform's store, where the claim outlives
// every entry host. Package registrar decides who holds a claim; this package
// gathers requests into batches, one task for each shard of keys, and writes
// each batch by one compare-and-swap. The version that the write is based on is
// the only fence: no lease, clock or list of hosts is trusted for safety.
//
// A request goes to the host that owns its shard, so that few hosts write the
// same value. That only saves contention; a host that can't reach the owner
// writes itself. A lost reply is settled by the claim's id: an attempt that
// finds its own id in the store holds the claim, whoever wrote it there.
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

// Store is the part of the platform's store that claims need.
type Store interface {
	// Get returns a key's entry, at version 0 where there is none.
	Get(ctx context.Context, key string) (connector.Entry, error)
	// CompareAndSwap writes a key that is at version; 0 for none.
	CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (connector.Entry, error)
	// Delete removes a key that is at version.
	Delete(ctx context.Context, key string, version uint64) error
}

// Hosts tells which entry hosts could own a shard.
type Hosts interface {
	// Self returns the name of this host.
	Self() string
	// Live returns the names of the hosts that take requests, this one too.
	Live() []string
}

// Forwarder sends a request to the Claimer of another host.
type Forwarder interface {
	// Forward returns the reply of [Claimer.Serve] on host.
	Forward(ctx context.Context, host string, request []byte) ([]byte, error)
}

// Claimer claims operations. The zero value is ready once it has a store; it
// works while Run is on.
type Claimer struct {
	store     Store
	hosts     Hosts
	forwarder Forwarder
	limits    Limits
	// start makes shards at the first use, after the setters.
	start  sync.Once
	shards []*shard
	// seed makes claim ids unique over hosts and restarts.
	seed [8]byte
	// count makes claim ids unique in this process.
	count atomic.Uint64
}

// SetStore sets the store; call it before any other method.
func (claimer *Claimer) SetStore(store Store) { claimer.store = store }

// SetHosts sets who could own a shard; without, this host owns all.
func (claimer *Claimer) SetHosts(hosts Hosts) { claimer.hosts = hosts }

// SetForwarder sets the way to other hosts; without, none is asked.
func (claimer *Claimer) SetForwarder(forwarder Forwarder) { claimer.forwarder = forwarder }

// SetLimits sets the limits; call it before Run and Claim.
func (claimer *Claimer) SetLimits(limits Limits) { claimer.limits = limits }

// Run serves the shards until ctx is done.
func (claimer *Claimer) Run(ctx context.Context) error {
	var tree supervisor.Tree
	for _, shard := range claimer.all() {
		tree.Add(shard.name, shard)
	}
	return tree.Run(ctx)
}

// Claim claims the operation. Without an error, the caller holds the one right
// to send it to a backend server, once, and must settle the Claim. The error is
// a [Recorded] or a refuser.Refusal:
//
//   - Recorded: the operation ran before;
//   - KindOutcomeUnknown: it was claimed before, and no outcome is recorded;
//   - KindKeyMismatch: the key was used with another request; not run;
//   - KindClaimsFull, KindOverloaded: no room for one more claim; not run;
//   - KindStoreUnavailable: the store could not be asked; not run.
func (claimer *Claimer) Claim(ctx context.Context, operation Operation) (*Claim, error) {
	claim := &Claim{claimer: claimer, operation: operation, id: claimer.newID()}
	ruling, err := claimer.submit(ctx, claim.request(registrar.ActClaim, registrar.Answer{}))
	if err != nil {
		claim.abandon()
		return nil, refuse(err)
	}
	if ruling.Verdict() == registrar.Granted {
		return claim, nil
	}
	return nil, decline(ruling)
}

// newID returns an id that no other attempt ever had.
func (claimer *Claimer) newID() registrar.ClaimID {
	claimer.all()
	id := append(claimer.seed[:len(claimer.seed):len(claimer.seed)], make([]byte, 8)...)
	binary.BigEndian.PutUint64(id[len(claimer.seed):], claimer.count.Add(1))
	return registrar.ClaimID(id)
}

// all returns the shards, which the first call makes.
func (claimer *Claimer) all() []*shard {
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

func (claimer *Claimer) shardOf(key registrar.Key) *shard {
	shards := claimer.all()
	return shards[key.Shard(len(shards))]
}
