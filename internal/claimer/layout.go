package claimer

import (
	"context"
	"fmt"
	"strconv"

	"github.com/chivespool/chivespool/internal/connector"
)

// layoutName is where the store holds the number of shards.
const layoutName = "chivespool/claims"

// LayoutError says that this host is set to another number of shards than the
// claims in the store were made with. It would look for a key in another place
// than it was claimed in, so it claims nothing.
type LayoutError struct {
	set    int
	stored string
}

// Error names the numbers and the remedy.
func (layoutError *LayoutError) Error() string {
	return fmt.Sprintf("claims: this host is set to %d shards, the store holds claims in %q; set claims.shards to that, "+
		"or let all claims expire with no host running and delete %s", layoutError.set, layoutError.stored, layoutName)
}

// checkLayout compares the number of shards with the store's; the first host
// ever writes it there. It asks the store until it has learnt that they agree.
func (committer *committer) checkLayout(ctx context.Context) error {
	if committer.agreed {
		return nil
	}
	entry, err := committer.store.Get(ctx, layoutName)
	if err != nil {
		return err
	}
	own := strconv.Itoa(committer.limits.shards)
	if entry.Version() == 0 {
		if _, err := committer.store.CompareAndSwap(ctx, layoutName, 0, []byte(own)); err != nil {
			return err
		}
		entry = connector.NewEntry([]byte(own), 1)
	}
	if stored := string(entry.Data()); stored != own {
		return &LayoutError{set: committer.limits.shards, stored: stored}
	}
	committer.agreed = true
	return nil
}
