package administrator_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// changesADay is the target's, each with two votes besides its author's.
	changesADay = 5800
	// watchBudget is what the watcher of a data centre may spend on the head,
	// of 5 KB a second for all control.
	watchBudget = 3 << 10
	measured    = time.Hour
)

// TestWatcherStaysWithinItsBudget counts the bytes that the watcher of a data
// centre gets from the store at the target's rate of changes.
func TestWatcherStaysWithinItsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t)
		defer world.close()
		world.fleet([]string{"anna", "ben", "cleo", "dora", "elsa"})
		seed := "propose create pool p, create endpoint e pool p address 10.0.0.1:80 region coast data-centre c1 slots 1"
		commands := []statement{
			{host: "a", operator: "ben", id: "seed", text: seed},
			{host: "b", operator: "cleo", text: "vote yes on seed"},
			{host: "c", operator: "dora", text: "vote yes on seed"},
		}
		changes := int(measured.Seconds() * changesADay / (24 * time.Hour).Seconds())
		for change := range changes {
			id := fmt.Sprintf("change-%09d", change)
			commands = append(commands,
				statement{host: "a", operator: "ben", id: id, text: fmt.Sprintf("alter endpoint e slots %d", change%100+2)},
				statement{host: "b", operator: "cleo", text: "vote yes on " + id},
				statement{host: "c", operator: "dora", text: "vote yes on " + id})
		}
		for _, command := range commands {
			time.Sleep(measured / time.Duration(len(commands)))
			if answer := world.do(command); strings.HasPrefix(answer, "4") || strings.HasPrefix(answer, "5") {
				t.Fatal(answer)
			}
		}
		store, seconds := world.store, int(measured.Seconds())
		t.Logf("%d changes in %v: head %d bytes at the end; a second: %d bytes watched, %d of snapshots written; %d reads, %d writes, %d watches",
			changes, measured, len(store.current()), store.watched/seconds, store.snapshots/seconds, store.reads, store.writes, store.watches)
		if store.watched/seconds > watchBudget {
			t.Fatalf("the watcher gets %d bytes a second", store.watched/seconds)
		}
	})
}
