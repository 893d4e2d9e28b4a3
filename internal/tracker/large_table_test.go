package tracker

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// largeTable returns a routing table of the largest size that the store holds.
func largeTable(version int) string {
	return fmt.Sprintf("%d%s", version, strings.Repeat(" ", 1000<<10))
}

// removeWhileRoutingGrows removes an endpoint and publishes a large routing table
// at the same time, several times in a row, and returns the hosts that still have
// an endpoint when the bound has passed.
func (fleet *fleet) removeWhileRoutingGrows(bound time.Duration) []string {
	var late []string
	for round := range 5 {
		fleet.store.write("endpoints/leaving", "ledger")
		time.Sleep(4*bound + time.Duration(round)*bound/12)
		fleet.store.remove("endpoints/leaving")
		fleet.store.write("table", largeTable(round+2))
		time.Sleep(bound)
		for name, tracker := range fleet.trackers {
			if len(tracker.View().Endpoints("ledger")) > 0 {
				late = append(late, name)
			}
		}
	}
	slices.Sort(late)
	return late
}

// TestRemovalBehindLargeTable removes endpoints while large routing tables are
// published, in a fleet most of whose hosts have slow links. The reader of the
// fleet had a slow link: the store's answer took longer than a call may take, and
// every host read the whole store in turn (inc1). The shorter bound is only kept if
// hosts with fast links forward the updates or, without any, if hosts read the
// endpoints' changes beside a large reply.
func TestRemovalBehindLargeTable(t *testing.T) {
	for _, layout := range []layout{
		{regions: 3, centres: 2, hosts: 21, limited: true, fast: 2, bound: 3 * time.Second},
		{regions: 3, centres: 2, hosts: 21, limited: true, fast: 2, bound: 2 * time.Second},
		{regions: 1, centres: 3, hosts: 5, limited: true, fast: 1, bound: 3 * time.Second},
		{regions: 3, centres: 2, hosts: 6, limited: true, bound: 2 * time.Second},
	} {
		t.Run(fmt.Sprint(layout.regions*layout.centres*layout.hosts, " hosts, ", layout.fast, " fast, in ", layout.bound), func(t *testing.T) {
			withLayout(t, layout, func(t *testing.T, fleet *fleet) {
				if late := fleet.removeWhileRoutingGrows(layout.bound); len(late) > 0 {
					t.Errorf("%d times, a host keeps an endpoint for more than %v; the first: %s", len(late), layout.bound, late[0])
				}
			})
		})
	}
}

// TestAgeCoversTransit publishes a large routing table and then small changes in a
// fleet of hosts with slow links: a host that lacks a change must count its view as
// at least as old as the change. The time that updates spend on the way was assumed
// to be short (found beside inc1).
func TestAgeCoversTransit(t *testing.T) {
	withLayout(t, layout{regions: 1, centres: 1, hosts: 20, limited: true, bound: 3 * time.Second}, func(t *testing.T, fleet *fleet) {
		written := map[uint64]time.Time{}
		write := func(key, value string) {
			fleet.store.write(key, value)
			fleet.store.set(func(store *fakeStore) { written[store.revision] = time.Now() })
		}
		var worst time.Duration
		for step := range 400 {
			if step%40 == 0 {
				write("table", largeTable(step+2))
			}
			write("endpoints/a", fmt.Sprint("ledger ", step))
			time.Sleep(50 * time.Millisecond)
			for name, tracker := range fleet.trackers {
				lacks, ok := written[tracker.View().Point().Revision()+1]
				if excess := time.Since(lacks) - tracker.Age(time.Now()); ok && excess > worst {
					worst = excess
					t.Errorf("%s lacks a change of %v ago and counts its view as %v newer than that", name, time.Since(lacks), excess)
				}
			}
		}
	})
}
