package claimer

import (
	"context"
	"fmt"
	"strconv"

	"github.com/chivespool/chivespool/internal/connector"
)

// layoutName is the key in the store of the number of shards.
const layoutName = "chivespool/claims"

// LayoutError means that this host is configured with another number of shards
// than the claims in the store were written with. The host would look up a key in
// another shard than the one that holds its claim, so it refuses all claims.
type LayoutError struct {
	configured int
	stored     string
}

// Error returns a message with both numbers and the remedy.
func (layoutError *LayoutError) Error() string {
	return fmt.Sprintf("claims: this host is set to %d shards, the store holds claims in %q; set claims.shards to that, "+
		"or let all claims expire with no host running and delete %s", layoutError.configured, layoutError.stored, layoutName)
}

// checkLayout returns an error unless the store's number of shards equals this
// host's. If the store has none, it writes this host's. Once the numbers are known
// to be equal, it no longer reads the store.
func (committer *committer) checkLayout(ctx context.Context) error {
	if committer.layoutChecked {
		return nil
	}
	entry, err := committer.store.Get(ctx, layoutName)
	if err != nil {
		return err
	}
	configured := strconv.Itoa(committer.limits.shards)
	if entry.Version() == 0 {
		if _, err := committer.store.CompareAndSwap(ctx, layoutName, 0, []byte(configured)); err != nil {
			return err
		}
		entry = connector.NewEntry([]byte(configured), 1)
	}
	if stored := string(entry.Data()); stored != configured {
		return &LayoutError{configured: committer.limits.shards, stored: stored}
	}
	committer.layoutChecked = true
	return nil
}
