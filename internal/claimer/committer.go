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

// readBackPause is how long a commit waits before it asks a failing store again.
const readBackPause = 20 * time.Millisecond

// committer writes one shard's ledger. Only the shard's task uses it.
type committer struct {
	store  Store
	name   string
	limits Limits
	// ledger is what the store holds at version, as far as this host knows;
	// nil when it must be read first.
	ledger  *registrar.Ledger
	version uint64
	// agreed is true once the store is known to hold as many shards as this
	// host is set to.
	agreed  bool
	archive archive
}

// commit returns the rulings on requests once they are in the store. After an
// error, it is not known whether the requests were written.
//
// It goes on until ctx is done while a write's fate is unknown or another host
// wrote first; a store that is surely out ends it at once.
func (committer *committer) commit(ctx context.Context, requests []registrar.Request) ([]registrar.Ruling, error) {
	uncertain := false
	for {
		rulings, err := committer.attempt(ctx, requests)
		if err == nil {
			return rulings, nil
		}
		committer.ledger = nil
		kind := kindOf(err)
		uncertain = uncertain || kind == connector.Unknown
		if ctx.Err() != nil || kind != connector.Conflict && !uncertain {
			return nil, fmt.Errorf("commit claims of %s: %w", committer.name, err)
		}
		if kind != connector.Conflict {
			sleep(ctx, readBackPause)
		}
	}
}

// attempt rules on requests and writes the ledger once. After an error, the
// ledger in memory is not what the store holds.
func (committer *committer) attempt(ctx context.Context, requests []registrar.Request) ([]registrar.Ruling, error) {
	fresh := committer.ledger == nil
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
	rulings, changed, err := committer.rule(ctx, requests, now)
	if err != nil {
		return nil, err
	}
	if sealed || expired || changed {
		return rulings, committer.write(ctx)
	}
	if fresh || !provisional(rulings) {
		return rulings, nil
	}
	// Another host may have written since this one read the ledger.
	committer.ledger = nil
	return committer.attempt(ctx, requests)
}

// load reads the ledger, if there is none, and the segments that it names.
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

// seal moves the records to a segment when the ledger has grown large. The
// segment is named by the version that it is a copy of, so that every host
// that seals this version writes the same.
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

// rule applies requests to the ledger in their order.
func (committer *committer) rule(ctx context.Context, requests []registrar.Request, now time.Time) ([]registrar.Ruling, bool, error) {
	past, err := committer.archive.find(ctx, committer, requests)
	if err != nil {
		return nil, false, err
	}
	rulings := make([]registrar.Ruling, len(requests))
	terms := committer.limits.terms()
	anyChanged := false
	for index, request := range requests {
		ruling, changed := committer.ledger.Rule(request, past, now, terms)
		rulings[index] = ruling
		anyChanged = anyChanged || changed
	}
	return rulings, anyChanged, nil
}

// expire drops what no longer counts at now: records, and one segment, so that
// a batch waits for one deletion at most. It reports whether there was any.
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

// write puts the ledger in the store, if it is still at the version read.
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

// provisional reports whether a newer ledger could change one of the rulings:
// a recorded answer stays, all else may have been settled or expired.
func provisional(rulings []registrar.Ruling) bool {
	for _, ruling := range rulings {
		if ruling.Verdict() != registrar.Recorded && ruling.Verdict() != registrar.Noted {
			return true
		}
	}
	return false
}

// kindOf returns what may be concluded from a failed call to the store.
func kindOf(err error) connector.ErrorKind {
	var failure *connector.CallError
	if errors.As(err, &failure) {
		return failure.Kind()
	}
	return connector.Unavailable
}
