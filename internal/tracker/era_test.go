package tracker

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// restore returns the store to an older copy of it and begins the next era.
func (fakeStore *fakeStore) restore(revision uint64) {
	fakeStore.era++
	fakeStore.revision = revision
	fakeStore.log = slices.DeleteFunc(fakeStore.log, func(change Item) bool { return change.revision > revision })
	fakeStore.items = make(map[string]Item)
	for _, change := range fakeStore.log {
		if delete(fakeStore.items, change.key); !change.removed {
			fakeStore.items[change.key] = change
		}
	}
}

// TestPeersOfDifferentEras passes a store that is restored from older copies on along a
// chain of peers. Revisions of different eras were compared, so that a peer kept a lost
// item or took a change at a reused revision for one that it had.
func TestPeersOfDifferentEras(t *testing.T) {
	for seed := range uint64(50) {
		random, store, chain := rand.New(rand.NewPCG(seed, 1)), newFakeStore(), make([]replica, 4)
		for round := range 400 {
			store.write(string(rune('a'+random.IntN(6))), fmt.Sprint(round))
			if random.IntN(20) == 0 {
				store.restore(max(store.revision-min(store.revision, random.Uint64N(30)), 2))
			}
			first := &chain[0]
			if random.IntN(3) > 0 {
				continue
			}
			if !first.apply(store.log, store.point()) {
				first.replace(slices.Collect(maps.Values(store.items)), store.point())
			}
			if !maps.EqualFunc(first.items, store.items, equalItems) || first.point != store.point() {
				t.Fatalf("seed %d: the copy has %v at %v, want %v at %v", seed, first.items, first.point, store.items, store.point())
			}
			for index := 1; index < len(chain); index++ {
				parent, peer := &chain[index-1], &chain[index]
				if random.IntN(4) == 0 {
					continue
				}
				if changes, complete := parent.changesAfter(peer.point); complete {
					peer.replace(changes, parent.point)
				} else if !peer.apply(changes, parent.point) {
					t.Fatalf("seed %d: peer %d could not apply the changes from %v to %v", seed, index, peer.point, parent.point)
				}
				if !maps.EqualFunc(parent.items, peer.items, equalItems) || parent.point != peer.point {
					t.Fatalf("seed %d: peer %d has %v at %v, want %v at %v", seed, index, peer.items, peer.point, parent.items, parent.point)
				}
				earlier := definer.NewPoint(peer.point.Era()-min(1, peer.point.Era()), peer.point.Revision()+100)
				if peer.point.Era() > 0 && (peer.replace(nil, earlier) || peer.apply(nil, earlier)) {
					t.Fatalf("seed %d: peer %d returned from %v to %v", seed, index, peer.point, earlier)
				}
			}
		}
	}
}

// builderSite is a builder and its replica at a time.
type builderSite struct {
	builder builder
	replica replica
	now     time.Time
	view    *View
}

func newBuilderSite() *builderSite {
	keys := NewKeys("table", "endpoints/", "hosts/").WithEvacuations("evacuate/")
	return &builderSite{builder: builder{decoder: textDecoder{}, keys: keys, journal: discardJournal{}}, now: time.Now()}
}

// read replaces the copy by entries such as "endpoints/a=ledger ready 1@4" after a time.
func (builderSite *builderSite) read(after time.Duration, era, revision uint64, entries ...string) {
	var items []Item
	for _, entry := range entries {
		key, rest, _ := strings.Cut(entry, "=")
		value, written, _ := strings.Cut(rest, "@")
		var at uint64
		_, _ = fmt.Sscan(written, &at)
		items = append(items, NewItem(key, []byte(value), at))
	}
	builderSite.replica.replace(items, definer.NewPoint(era, revision))
	builderSite.wait(after)
}

// wait makes a view of the same copy after a time.
func (builderSite *builderSite) wait(after time.Duration) {
	builderSite.now = builderSite.now.Add(after)
	builderSite.view = builderSite.builder.build(builderSite.now, &builderSite.replica, false)
}

// want checks the endpoints in use, which are named in order.
func (builderSite *builderSite) want(t *testing.T, when, endpoints string) {
	t.Helper()
	if got := strings.Join(slices.Sorted(maps.Keys(builderSite.view.Names())), " "); got != endpoints {
		t.Errorf("%s the endpoints %q are in use, want %q", when, got, endpoints)
	}
}

// TestReusedRevisions writes other values at revisions that were lost with an era. The
// builder took them for the values that it had decoded.
func TestReusedRevisions(t *testing.T) {
	site := newBuilderSite()
	site.read(0, 1, 9, "table=2@9", "endpoints/a=ledger ready 1@8", "hosts/x=x north one@7")
	site.read(time.Second, 2, 6, "table=1@5")
	site.read(time.Second, 2, 9, "table=3@9", "endpoints/a=other ready 1@8", "hosts/x=x south two@7")
	if version := site.view.Table().Version(); version != 3 {
		t.Errorf("the routing version is %d, want 3", version)
	}
	if region := site.view.Hosts()[0].Place().Region(); region != "south" {
		t.Errorf("the host is in region %s, want south", region)
	}
	site.want(t, "after the endpoint's service has changed", "")
}

// TestOutdatedEndpoints restores entries of endpoints that had left, drained or been
// replaced by a later process. They must not be used until they are written again or the
// grace has ended.
func TestOutdatedEndpoints(t *testing.T) {
	before := []string{"table=1@1", "endpoints/drains=ledger ready 1@2", "endpoints/left=ledger ready 1@3", "endpoints/old=ledger ready 1@4"}
	start := func() *builderSite {
		site := newBuilderSite()
		site.read(0, 1, 5, before...)
		site.want(t, "before all", "drains left old")
		site.read(time.Second, 1, 20, "table=1@1", "endpoints/drains=ledger draining 1@17", "endpoints/old=other ready 2@19")
		site.want(t, "before the restore", "")
		site.read(time.Second, 2, 5, before...)
		site.want(t, "after the restore", "")
		return site
	}
	site := start()
	site.wait(eraGrace - time.Millisecond)
	site.want(t, "during the grace", "")
	site.wait(time.Millisecond)
	site.want(t, "after the grace", "drains left old")
	site = start()
	site.read(time.Second, 2, 8, "table=1@1", "endpoints/drains=ledger ready 1@6", "endpoints/left=ledger ready 1@7", "endpoints/old=ledger ready 1@8")
	site.want(t, "after they were written again", "drains left old")
	site = newBuilderSite()
	site.read(0, 1, 5, before...)
	site.read(time.Second, 1, 20, "table=1@1", "endpoints/drains=ledger draining 1@17")
	site.read(time.Second, 2, 9, "table=1@1", "endpoints/drains=ledger ready 2@7", "endpoints/left=ledger ready 2@8", "endpoints/old=ledger ready 1@4")
	site.want(t, "where a later process wrote them before the first read", "drains left")
	site.builder.recordLeft([]Item{RemovedItem("endpoints/left", 10)})
	site.read(time.Second, 3, 9, "table=1@1", "endpoints/left=ledger ready 2@8")
	site.want(t, "where one is known to leave before all changes are read", "drains")
}

// TestLostEntries restores a copy without the entries of endpoints, hosts and evacuations
// that were in use. They are kept for their grace and not longer, and not if they are
// removed after they were written again.
func TestLostEntries(t *testing.T) {
	site := newBuilderSite()
	entries := []string{"table=1@1", "endpoints/a=ledger ready 1@12", "endpoints/b=ledger ready 1@13", "hosts/x=x north one@14", "evacuate/one=@15", "evacuate/two=@16"}
	site.read(0, 1, 20, entries...)
	site.read(time.Second, 2, 5, "table=1@1")
	check := func(when, endpoints string, hosts int, one, two bool) {
		t.Helper()
		site.want(t, when, endpoints)
		if got := len(site.view.Hosts()); got != hosts || site.view.Evacuated("one") != one || site.view.Evacuated("two") != two {
			t.Errorf("%s %d hosts, evacuated: %v and %v; want %d, %v and %v", when, got, site.view.Evacuated("one"), site.view.Evacuated("two"), hosts, one, two)
		}
	}
	check("after the restore", "a b", 1, true, true)
	site.read(time.Second, 2, 8, "table=1@1", "endpoints/a=ledger ready 1@6", "hosts/x=x north one@7", "evacuate/one=@8")
	check("after some were written again", "a b", 1, true, true)
	site.read(time.Second, 2, 11, "table=1@1")
	check("after these were removed", "b", 0, false, true)
	site.wait(eraEndpointGrace - 2*time.Second)
	check("after the endpoints' grace", "", 0, false, true)
	site.wait(eraGrace - eraEndpointGrace)
	check("after the grace", "", 0, false, false)
	if site.builder.changesWithTime() {
		t.Error("the view still changes with time")
	}
}
