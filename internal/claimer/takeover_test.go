package claimer

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// TestTakeoverOfManySegments guards against a takeover that never completes: a
// shard has more segments than a host can read within the timeout of one batch, so
// the next batch must continue where the last one stopped.
func TestTakeoverOfManySegments(t *testing.T) {
	const segments = 1500
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fleet := newFleet(ctx, "ab", DefaultLimits().WithShards(1).WithSealBytes(1))
		defer fleet.Close()
		fleet.live = []string{"a"}
		for number := range segments {
			if _, err := fleet.hosts[0].Claim(ctx, NewOperation("ledger", strconv.Itoa(number), [32]byte{})); err != nil {
				t.Fatal(err)
			}
		}
		fleet.mu.Lock()
		fleet.live = []string{"b"}
		fleet.mu.Unlock()
		fleet.store.delay = 3 * time.Millisecond
		started := time.Now()
		refused := 0
		for refused < 10 {
			_, err := fleet.hosts[1].Claim(ctx, NewOperation("ledger", "0", [32]byte{}))
			if describe(err) == "outcome-unknown (ran: unknown)" {
				t.Logf("taken over after %v, %d refused", time.Since(started), refused)
				return
			}
			refused++
		}
		t.Fatalf("not taken over after %v", time.Since(started))
	})
}
