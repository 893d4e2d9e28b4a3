package claimer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/chivespool/chivespool/internal/refuser"
)

// TestShardCountMismatch guards against a second run of an operation when a host
// is configured with another number of shards than the claims in the store: it
// would look up the key in another shard. Such a host must refuse all claims.
func TestShardCountMismatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		first := newFleet(ctx, "a", DefaultLimits().WithShards(4))
		defer first.Close()
		first.store.entries = nil
		second := newFleet(ctx, "b", DefaultLimits().WithShards(8))
		defer second.Close()
		operations := []Operation{NewOperation("ledger", "1", [32]byte{}), NewOperation("ledger", "2", [32]byte{})}
		for _, operation := range operations {
			if _, err := first.hosts[0].Claim(ctx, operation); err != nil {
				t.Fatal(err)
			}
		}
		second.store.entries = first.store.entries
		for _, operation := range operations {
			_, err := second.hosts[0].Claim(ctx, operation)
			var layout *LayoutError
			var refusal *refuser.Refusal
			if !errors.As(err, &layout) || !errors.As(err, &refusal) || refusal.Ran() != refuser.NotRun {
				t.Fatalf("got %v, want a refusal due to the number of shards", err)
			}
		}
	})
}
