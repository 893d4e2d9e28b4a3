package claimer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/registrar"
)

// storeRetryDelay is how long a commit waits after a failed call to the store
// before its next attempt.
const storeRetryDelay = 20 * time.Millisecond

// committer reads and writes one shard's ledger. Only the shard's task uses it.
type committer struct {
	store  Store
	name   string
	limits Limits
	// ledger is the local copy of the ledger in the store at version, or nil if
	// it must be read first.
	ledger  *registrar.Ledger
	version uint64
	// layoutChecked is true once the number of shards in the store is known to
	// equal this host's setting.
	layoutChecked bool
	archive       archive
}

// commit writes requests to the store and returns the decisions on them. After an
// error, it is unknown whether the requests were written.
//
// It retries until ctx is done if the outcome of a write is unknown or another
// host wrote first. If the store is unavailable and the outcome of no write is
// unknown, it returns at once.
func (committer *committer) commit(ctx context.Context, requests []registrar.Request) ([]registrar.Decision, error) {
	uncertain := false
	for {
		decisions, err := committer.attempt(ctx, requests)
		if err == nil {
			return decisions, nil
		}
		committer.ledger = nil
		kind := kindOf(err)
		uncertain = uncertain || kind == connector.Unknown
		if ctx.Err() != nil || kind != connector.Conflict && !uncertain {
			return nil, fmt.Errorf("commit claims of %s: %w", committer.name, err)
		}
		if kind != connector.Conflict {
			sleep(ctx, storeRetryDelay)
		}
	}
}

// attempt applies requests and writes the ledger at most once. After an error, the
// ledger in memory may differ from the store's.
func (committer *committer) attempt(ctx context.Context, requests []registrar.Request) ([]registrar.Decision, error) {
	justLoaded := committer.ledger == nil
	if err := committer.load(ctx); err != nil {
		return nil, err
	}
	sealed, err := committer.seal(ctx)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	expired, err := committer.expire(ctx, now)
	if err != nil {
		return nil, err
	}
	decisions, changed, err := committer.apply(ctx, requests, now)
	if err != nil {
		return nil, err
	}
	if sealed || expired || changed {
		return decisions, committer.write(ctx)
	}
	if justLoaded || !mayBeOutdated(decisions) {
		return decisions, nil
	}
	// Another host may have written the ledger since this host read it.
	committer.ledger = nil
	return committer.attempt(ctx, requests)
}

// load reads the ledger if it is not in memory, and the segments that it lists.
func (committer *committer) load(ctx context.Context) error {
	if committer.ledger == nil {
		if err := committer.checkLayout(ctx); err != nil {
			return err
		}
		entry, err := committer.store.Get(ctx, committer.name)
		if err != nil {
			return err
		}
		ledger, err := encoder.DecodeLedger(entry.Data())
		if err != nil {
			return err
		}
		committer.ledger = ledger
		committer.version = entry.Version()
	}
	return committer.archive.sync(ctx, committer, committer.ledger.Segments())
}

// seal moves the records to a segment if they exceed the limit of bytes, and
// reports whether it did. The segment is named by the version of the ledger that
// it copies, so that all hosts that seal this version write the same segment.
func (committer *committer) seal(ctx context.Context) (bool, error) {
	ledger := committer.ledger
	if ledger.RecordBytes() < committer.limits.sealBytes {
		return false, nil
	}
	if err := committer.archive.write(ctx, committer, committer.version, ledger.Records()); err != nil {
		return false, err
	}
	ledger.Seal(committer.version)
	return true, nil
}

// apply applies requests to the ledger in order, and reports whether it changed.
func (committer *committer) apply(ctx context.Context, requests []registrar.Request, now time.Time) ([]registrar.Decision, bool, error) {
	sealedRecords, err := committer.archive.find(ctx, committer, requests)
	if err != nil {
		return nil, false, err
	}
	decisions := make([]registrar.Decision, len(requests))
	limits := committer.limits.perShard()
	anyChanged := false
	for index, request := range requests {
		decision, changed := committer.ledger.Apply(request, sealedRecords, now, limits)
		decisions[index] = decision
		anyChanged = anyChanged || changed
	}
	return decisions, anyChanged, nil
}

// expire removes the records that have expired at now, and at most one expired
// segment, so that a batch waits for at most one deletion. It reports whether it
// removed any.
func (committer *committer) expire(ctx context.Context, now time.Time) (bool, error) {
	expired := committer.ledger.Expire(now)
	segment, ok := committer.ledger.ExpiredSegment(now)
	if !ok {
		return expired, nil
	}
	if err := committer.archive.remove(ctx, committer, segment); err != nil {
		return false, err
	}
	committer.ledger.DropSegment(segment.Number())
	return true, nil
}

// write writes the ledger if the store still has the version that was read.
func (committer *committer) write(ctx context.Context) error {
	data, err := encoder.EncodeLedger(committer.ledger)
	if err != nil {
		return err
	}
	entry, err := committer.store.CompareAndSwap(ctx, committer.name, committer.version, data)
	if err != nil {
		return err
	}
	committer.version = entry.Version()
	return nil
}

// mayBeOutdated reports whether a newer ledger could change one of the decisions:
// recorded answers and noted settlements are final, but other claims may have
// been settled or have expired.
func mayBeOutdated(decisions []registrar.Decision) bool {
	for _, decision := range decisions {
		if decision.Verdict() != registrar.Recorded && decision.Verdict() != registrar.Noted {
			return true
		}
	}
	return false
}

// kindOf returns the kind of a failed call to the store; an error of another type
// counts as Unavailable.
func kindOf(err error) connector.ErrorKind {
	var failure *connector.CallError
	if errors.As(err, &failure) {
		return failure.Kind()
	}
	return connector.Unavailable
}
