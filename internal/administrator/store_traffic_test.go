package administrator_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// changesPerDay is the target rate; each change gets two votes besides the
	// author's.
	changesPerDay = 5800
	// maxWatchBytesPerSecond is the limit for the watch of the head by one data
	// centre, out of 5 KB/s for all control traffic.
	maxWatchBytesPerSecond = 3 << 10
	testDuration           = time.Hour
)

// TestWatcherStoreTraffic checks that, at the target rate of changes, the watcher
// of a data centre receives at most maxWatchBytesPerSecond from the store.
func TestWatcherStoreTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		testFleet := newTestFleet(t)
		defer testFleet.close()
		testFleet.bootstrap([]string{"anna", "ben", "cleo", "dora", "elsa"})
		seed := "propose create pool p, create endpoint e pool p address 10.0.0.1:80 region coast data-centre c1 slots 1"
		commands := []statement{
			{host: "a", operator: "ben", id: "seed", text: seed},
			{host: "b", operator: "cleo", text: "vote yes on seed"},
			{host: "c", operator: "dora", text: "vote yes on seed"},
		}
		changes := int(testDuration.Seconds() * changesPerDay / (24 * time.Hour).Seconds())
		for change := range changes {
			id := fmt.Sprintf("change-%09d", change)
			commands = append(commands,
				statement{host: "a", operator: "ben", id: id, text: fmt.Sprintf("alter endpoint e slots %d", change%100+2)},
				statement{host: "b", operator: "cleo", text: "vote yes on " + id},
				statement{host: "c", operator: "dora", text: "vote yes on " + id})
		}
		for _, command := range commands {
			time.Sleep(testDuration / time.Duration(len(commands)))
			if answer := testFleet.do(command); strings.HasPrefix(answer, "4") || strings.HasPrefix(answer, "5") {
				t.Fatal(answer)
			}
		}
		store, seconds := testFleet.store, int(testDuration.Seconds())
		t.Logf("%d changes in %v: final head %d bytes; per second: %d bytes watched, %d snapshot bytes written; %d reads, %d writes, %d watches",
			changes, testDuration, len(store.current()), store.watchedBytes/seconds, store.snapshotBytes/seconds, store.reads, store.writes, store.watches)
		if store.watchedBytes/seconds > maxWatchBytesPerSecond {
			t.Fatalf("the watcher receives %d bytes per second", store.watchedBytes/seconds)
		}
	})
}
