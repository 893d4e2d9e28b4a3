package claimer

import (
	"time"

	"github.com/chivespool/chivespool/internal/registrar"
)

// skewAllowance is added to the retention time, so that a host whose clock is
// ahead by less than this removes no record early.
const skewAllowance = time.Minute

// Limits bound the claims and the load on the store. The zero value means
// [DefaultLimits]. All hosts must have the same number of shards.
type Limits struct {
	shards          int
	retention       time.Duration
	maxKeys         int
	batch           int
	batchBytes      int
	sealBytes       int
	writesPerSecond int
	settleWait      time.Duration
	timeout         time.Duration
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		shards:          4,
		retention:       24 * time.Hour,
		maxKeys:         10_000_000,
		batch:           512,
		batchBytes:      384 << 10,
		sealBytes:       128 << 10,
		writesPerSecond: 320,
		settleWait:      100 * time.Millisecond,
		timeout:         2 * time.Second,
	}
}

// WithShards sets the number of shards that the keys are partitioned into. Each
// shard is one value in the store, with at most one write in flight.
func (limits Limits) WithShards(shards int) Limits {
	limits.shards = shards
	return limits
}

// WithRetention sets how long a key's record is retained after its claim.
func (limits Limits) WithRetention(retention time.Duration) Limits {
	limits.retention = retention
	return limits
}

// WithMaxKeys sets the number of keys retained in all shards; beyond it, new keys
// are refused as not run until old ones expire.
func (limits Limits) WithMaxKeys(maxKeys int) Limits {
	limits.maxKeys = maxKeys
	return limits
}

// WithBatch sets the maximum number of requests in one write.
func (limits Limits) WithBatch(batch int) Limits {
	limits.batch = batch
	return limits
}

// WithSealBytes sets the size at which the records of a shard are sealed into a
// segment.
func (limits Limits) WithSealBytes(size int) Limits {
	limits.sealBytes = size
	return limits
}

// WithWrites sets the maximum rate of writes per second of all shards together,
// not counting those that seal a segment.
func (limits Limits) WithWrites(writesPerSecond int) Limits {
	limits.writesPerSecond = writesPerSecond
	return limits
}

// WithSettleWait sets how long an outcome waits to be batched with a claim.
func (limits Limits) WithSettleWait(wait time.Duration) Limits {
	limits.settleWait = wait
	return limits
}

// WithTimeout sets the timeout of one batch's calls to the store.
func (limits Limits) WithTimeout(timeout time.Duration) Limits {
	limits.timeout = timeout
	return limits
}

// Shards returns the number of shards that the keys are partitioned into.
func (limits Limits) Shards() int { return limits.shards }

// writeInterval returns the minimum time between the starts of two writes of a
// shard.
func (limits Limits) writeInterval() time.Duration {
	return time.Duration(limits.shards) * time.Second / time.Duration(limits.writesPerSecond)
}

func (limits Limits) perShard() registrar.Limits {
	return registrar.NewLimits(limits.retention+skewAllowance, max(1, limits.maxKeys/limits.shards))
}

// orDefault returns limits, or DefaultLimits if limits is the zero value.
func (limits Limits) orDefault() Limits {
	if limits.shards == 0 {
		return DefaultLimits()
	}
	return limits
}
