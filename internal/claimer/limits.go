package claimer

import (
	"time"

	"github.com/chivespool/chivespool/internal/registrar"
)

// skewAllowance is added to the retention time, so that a host whose clock
// runs ahead by less than this drops no record early.
const skewAllowance = time.Minute

// Limits are the bounds under which claims are held. The zero value stands for
// [DefaultLimits]. All hosts must have the same number of shards.
type Limits struct {
	shards     int
	retention  time.Duration
	most       int
	batch      int
	batchBytes int
	sealBytes  int
	writes     int
	settleWait time.Duration
	timeout    time.Duration
}

// DefaultLimits returns the limits that hold where nothing else is set.
func DefaultLimits() Limits {
	return Limits{
		shards:     4,
		retention:  24 * time.Hour,
		most:       10_000_000,
		batch:      512,
		batchBytes: 384 << 10,
		sealBytes:  128 << 10,
		writes:     320,
		settleWait: 100 * time.Millisecond,
		timeout:    2 * time.Second,
	}
}

// WithShards sets how many shards the keys are spread over. Each shard is one
// value of the store, with one write in flight.
func (limits Limits) WithShards(shards int) Limits {
	limits.shards = shards
	return limits
}

// WithRetention sets for how long a key is remembered after its claim.
func (limits Limits) WithRetention(retention time.Duration) Limits {
	limits.retention = retention
	return limits
}

// WithMost sets how many keys are held in all shards; beyond, new keys are
// refused as not run until old ones expire.
func (limits Limits) WithMost(most int) Limits {
	limits.most = most
	return limits
}

// WithBatch sets how many requests one write carries.
func (limits Limits) WithBatch(batch int) Limits {
	limits.batch = batch
	return limits
}

// WithSealBytes sets at what size the records of a shard move to a segment.
func (limits Limits) WithSealBytes(size int) Limits {
	limits.sealBytes = size
	return limits
}

// WithWrites sets how many writes a second all shards make together at most,
// but for those that seal a segment.
func (limits Limits) WithWrites(writes int) Limits {
	limits.writes = writes
	return limits
}

// WithSettleWait sets how long an outcome waits for a claim to ride with.
func (limits Limits) WithSettleWait(wait time.Duration) Limits {
	limits.settleWait = wait
	return limits
}

// WithTimeout bounds one batch's calls to the store.
func (limits Limits) WithTimeout(timeout time.Duration) Limits {
	limits.timeout = timeout
	return limits
}

// Shards returns how many shards the keys are spread over.
func (limits Limits) Shards() int { return limits.shards }

// gap is the least time between the starts of two writes of a shard.
func (limits Limits) gap() time.Duration {
	return time.Duration(limits.shards) * time.Second / time.Duration(limits.writes)
}

func (limits Limits) terms() registrar.Terms {
	return registrar.NewTerms(limits.retention+skewAllowance, max(1, limits.most/limits.shards))
}

// orDefault returns the limits, or DefaultLimits for the zero value.
func (limits Limits) orDefault() Limits {
	if limits.shards == 0 {
		return DefaultLimits()
	}
	return limits
}
