package tracker

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
)

// fakeStore is a store in memory with the faults of the platform's store.
type fakeStore struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	items    map[string]Item
	log      []Item
	// compactedTo is the revision up to which the history is compacted.
	compactedTo uint64
	// down makes calls hang; silent makes Changes return no changes, and hung
	// makes it hang.
	down, silent, hung bool
	// refused holds the hosts whose calls fail.
	refused map[string]bool
	// delays holds the hosts whose calls take longer than usual, and by how much.
	delays map[string]time.Duration
	calls  int
}

// point returns the point that the store is at; mu is held.
func (fakeStore *fakeStore) point() definer.Point {
	return definer.NewPoint(fakeStore.era, fakeStore.revision)
}

func newFakeStore() *fakeStore {
	return &fakeStore{revision: 1, items: make(map[string]Item), refused: make(map[string]bool), delays: make(map[string]time.Duration)}
}

func (fakeStore *fakeStore) write(key, value string) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.revision++
	item := NewItem(key, []byte(value), fakeStore.revision)
	fakeStore.items[key] = item
	fakeStore.log = append(fakeStore.log, item)
}

func (fakeStore *fakeStore) remove(key string) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.revision++
	delete(fakeStore.items, key)
	fakeStore.log = append(fakeStore.log, RemovedItem(key, fakeStore.revision))
}

func (fakeStore *fakeStore) set(change func(*fakeStore)) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	change(fakeStore)
}

var errDown = errors.New("no answer")

// storeClient is one host's connection to the store.
type storeClient struct {
	*fakeStore
	host string
	// link is the host's incoming link; nil for one without a limit.
	link *link
}

// deliver transfers the items of an answer over the host's link.
func (storeClient *storeClient) deliver(ctx context.Context, items []Item) error {
	if err := carry(ctx, transitBytes(items, base64Share), storeClient.link); err != nil {
		return connector.NewError(connector.Unavailable, "call", err)
	}
	return nil
}

func (storeClient *storeClient) startCall(ctx context.Context) error {
	storeClient.mu.Lock()
	storeClient.calls++
	down, refused := storeClient.down, storeClient.refused[storeClient.host]
	delay := 8*time.Millisecond + storeClient.delays[storeClient.host]
	storeClient.mu.Unlock()
	if down {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		return connector.NewError(connector.Unavailable, "call", errDown)
	}
	if refused {
		return connector.NewError(connector.Unavailable, "call", errors.New("status 503"))
	}
	if !sleep(ctx, delay) {
		return connector.NewError(connector.Unavailable, "call", ctx.Err())
	}
	return nil
}

// sleep waits for a time and returns true, or returns false when ctx is done.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (storeClient *storeClient) Point(ctx context.Context) (definer.Point, error) {
	if err := storeClient.startCall(ctx); err != nil {
		return definer.Point{}, err
	}
	storeClient.mu.Lock()
	defer storeClient.mu.Unlock()
	return storeClient.point(), nil
}

// Scan returns the state before the last change if stale is true.
func (storeClient *storeClient) Scan(ctx context.Context, prefix string, stale bool) ([]Item, definer.Point, error) {
	if err := storeClient.startCall(ctx); err != nil {
		return nil, definer.Point{}, err
	}
	storeClient.mu.Lock()
	defer storeClient.mu.Unlock()
	var items []Item
	for _, key := range slices.Sorted(maps.Keys(storeClient.items)) {
		if strings.HasPrefix(key, prefix) {
			items = append(items, storeClient.items[key])
		}
	}
	point := storeClient.point()
	if last := len(storeClient.log) - 1; stale && last > 0 && len(items) > 0 {
		items = slices.DeleteFunc(items, func(item Item) bool { return item.revision == storeClient.revision })
		point = definer.NewPoint(point.Era(), point.Revision()-1)
	}
	storeClient.mu.Unlock()
	err := storeClient.deliver(ctx, items)
	storeClient.mu.Lock()
	return items, point, err
}

// slowScan is the duration of a scan of a busy store.
const slowScan = 800 * time.Millisecond

// slowStoreClient is a storeClient whose scans are slow.
type slowStoreClient struct{ storeClient }

func (slowStoreClient *slowStoreClient) Scan(ctx context.Context, prefix string, stale bool) ([]Item, definer.Point, error) {
	time.Sleep(slowScan)
	return slowStoreClient.storeClient.Scan(ctx, prefix, stale)
}

func (storeClient *storeClient) Changes(ctx context.Context, prefix string, after uint64, wait, limit time.Duration) ([]Item, definer.Point, error) {
	start, cancel := context.WithTimeout(ctx, wait+limit)
	defer cancel()
	if err := storeClient.startCall(start); err != nil {
		return nil, definer.Point{}, err
	}
	storeClient.mu.Lock()
	hung := storeClient.hung
	storeClient.mu.Unlock()
	if hung {
		<-start.Done()
		return nil, definer.Point{}, connector.NewError(connector.Unavailable, "watch", errDown)
	}
	storeClient.mu.Lock()
	defer storeClient.mu.Unlock()
	if storeClient.silent {
		storeClient.mu.Unlock()
		time.Sleep(wait)
		storeClient.mu.Lock()
		return nil, definer.NewPoint(storeClient.era, after), nil
	}
	if after < storeClient.compactedTo || after > storeClient.revision {
		return nil, definer.Point{}, connector.NewError(connector.Compacted, "watch", nil)
	}
	var changes []Item
	for _, change := range storeClient.log {
		if change.revision > after && strings.HasPrefix(change.key, prefix) {
			changes = append(changes, change)
		}
	}
	point := storeClient.point()
	storeClient.mu.Unlock()
	err := storeClient.deliver(ctx, changes)
	storeClient.mu.Lock()
	return changes, point, err
}

// textDecoder reads values such as "7" for a table and "ledger" for an endpoint
// of that service, optionally followed by its state and start time; "bad" can't be
// decoded.
type textDecoder struct{}

func (textDecoder) Table(value []byte) (*definer.RouteTable, error) {
	version, err := strconv.ParseUint(strings.TrimSpace(string(value)), 10, 64)
	return definer.NewRouteTable(version, nil, map[string]string{"ledger": "/health"}, definer.CallerLimits{}), err
}

func (textDecoder) Endpoint(name string, value []byte) (definer.Endpoint, error) {
	if string(value) == "bad" {
		return definer.Endpoint{}, errors.New("bad")
	}
	fields := append(strings.Fields(string(value)), "", "", "")
	startedAt, _ := strconv.ParseInt(fields[2], 10, 64) // 0 if there is none.
	return definer.NewEndpoint(name, fields[0], "10.0.0.1:1", definer.Place{}, 4).
		WithDrained(fields[1] == "draining").WithStartedAt(startedAt), nil
}

func (textDecoder) Host(value []byte) (definer.Host, error) {
	fields := strings.Fields(string(value))
	host := definer.NewHost(fields[0], fields[0], fields[0], definer.NewPlace(fields[1], fields[2]), 1)
	if len(fields) > 3 {
		rate, err := strconv.ParseUint(fields[3], 10, 64)
		return host.WithLinkRate(rate), err
	}
	return host, nil
}

// fleet is a set of trackers that share one store.
type fleet struct {
	store    *fakeStore
	trackers map[string]*Tracker
	// cut holds the pairs of hosts that can't reach each other.
	cut map[[2]string]bool
	// incoming and outgoing hold the links of hosts; nil for links without a limit.
	incoming, outgoing map[string]*link
	cancels            map[string]context.CancelFunc
	wait               sync.WaitGroup
	fetches            int
	mu                 sync.Mutex
}

// changeBound is the bound within which a change must be in force.
const changeBound = 2 * time.Second

type discardJournal struct{}

func (discardJournal) Change(string, ...any)             {}
func (discardJournal) Undecodable(string, uint64, error) {}

// peerClient is one host's connection to the others.
type peerClient struct {
	*fleet
	host string
}

func (peerClient *peerClient) Fetch(ctx context.Context, host string, after definer.Point, checks uint64) (Update, error) {
	peerClient.mu.Lock()
	peerClient.fetches++
	tracker, outgoing, incoming := peerClient.trackers[host], peerClient.outgoing[host], peerClient.incoming[peerClient.host]
	cut := peerClient.cut[[2]string{peerClient.host, host}] || peerClient.cut[[2]string{host, peerClient.host}]
	peerClient.mu.Unlock()
	if cut || tracker == nil {
		<-ctx.Done()
		return Update{}, ctx.Err()
	}
	time.Sleep(12 * time.Millisecond)
	update := tracker.Serve(ctx, after, checks)
	time.Sleep(12 * time.Millisecond)
	if err := carry(ctx, transitBytes(update.items, compressedShare), outgoing, incoming); err != nil {
		return Update{}, err
	}
	return update, ctx.Err()
}

// layout is the number of regions of a fleet, of data centres in each region,
// and of hosts in each data centre.
type layout struct {
	regions, centres, hosts int
	// limited is true where links have limits: fast hosts of each data centre have
	// fast links, the others slow ones.
	limited bool
	fast    int
	// bound is the bound within which a change must be in force; 0 for changeBound.
	bound time.Duration
}

func newFleet(t *testing.T, layout layout) *fleet {
	t.Helper()
	fleet := &fleet{
		store: newFakeStore(), trackers: make(map[string]*Tracker),
		cut: make(map[[2]string]bool), cancels: make(map[string]context.CancelFunc),
		incoming: make(map[string]*link), outgoing: make(map[string]*link),
	}
	bound := cmp.Or(layout.bound, changeBound)
	fleet.store.write("table", "1")
	for region := range layout.regions {
		for centre := range layout.centres {
			for number := range layout.hosts {
				name := fmt.Sprintf("host-%d-%d-%d", region, centre, number)
				place := definer.NewPlace(fmt.Sprint("region-", region), fmt.Sprint("centre-", region, "-", centre))
				host := definer.NewHost(name, name, name, place, 1)
				keys := NewKeys("table", "endpoints/", "hosts/").WithEvacuations("evacuate/")
				if layout.limited {
					rate := float64(slowLink)
					if number >= layout.hosts-layout.fast {
						rate = fastLink
					}
					fleet.incoming[name], fleet.outgoing[name] = newLink(rate), newLink(rate)
					host = host.WithLinkRate(uint64(8 * rate))
				}
				fleet.store.write("hosts/"+name, fmt.Sprintf("%s %s %s %d", name, place.Region(), place.DataCentre(), host.LinkRate()))
				store := &storeClient{fakeStore: fleet.store, host: name, link: fleet.incoming[name]}
				fleet.trackers[name] = New(host, store, &peerClient{fleet, name}, textDecoder{}, keys, bound, discardJournal{})
			}
		}
	}
	for name, tracker := range fleet.trackers {
		fleet.start(name, tracker)
	}
	return fleet
}

// start runs the tasks of a host's tracker.
func (fleet *fleet) start(name string, tracker *Tracker) {
	fleet.mu.Lock()
	fleet.trackers[name] = tracker
	ctx, cancel := context.WithCancel(context.Background())
	fleet.cancels[name] = cancel
	fleet.mu.Unlock()
	for _, task := range []interface{ Run(context.Context) error }{tracker.Poller(), tracker.Puller()} {
		fleet.wait.Add(1)
		runner := &taskRunner{fleet: fleet, task: task, ctx: ctx}
		go runner.run()
	}
}

// taskRunner runs one task of a tracker until the fleet stops.
type taskRunner struct {
	fleet *fleet
	task  interface{ Run(context.Context) error }
	ctx   context.Context
}

func (taskRunner *taskRunner) run() {
	defer taskRunner.fleet.wait.Done()
	_ = taskRunner.task.Run(taskRunner.ctx)
}

func (fleet *fleet) stop() {
	for _, cancel := range fleet.cancels {
		cancel()
	}
	fleet.wait.Wait()
}

// behind returns the hosts whose routing is older than version.
func (fleet *fleet) behind(version uint64) []string {
	var behind []string
	for _, name := range slices.Sorted(maps.Keys(fleet.trackers)) {
		if fleet.trackers[name].View().Table().Version() < version {
			behind = append(behind, name)
		}
	}
	return behind
}

// withFleet runs test with a fleet of three regions, after its start.
func withFleet(t *testing.T, hostsPerCentre int, test func(t *testing.T, fleet *fleet)) {
	t.Helper()
	withLayout(t, layout{regions: 3, centres: 2, hosts: hostsPerCentre}, test)
}

func withLayout(t *testing.T, layout layout, test func(t *testing.T, fleet *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, layout)
		defer fleet.stop()
		time.Sleep(3 * time.Second)
		test(t, fleet)
	})
}
