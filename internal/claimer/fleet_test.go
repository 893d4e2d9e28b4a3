package claimer

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
)

// fault is a fault of the fake store during one compare-and-swap.
type fault int

const (
	none fault = iota
	// loseReply writes the value, and reports an unknown outcome.
	loseReply
	// drop does not write the value, and reports an unknown outcome.
	drop
	// late writes the value after lateWriteDelay, and reports an unknown outcome at
	// once.
	late
)

// lateWriteDelay is the delay of a late write.
const lateWriteDelay = time.Second

// fakeStore is an in-memory store with fault injection.
type fakeStore struct {
	// mu guards all fields below.
	mu      sync.Mutex
	entries map[string]connector.Entry
	version uint64
	delay   time.Duration
	outage  bool
	// faults are the faults of the next compare-and-swaps, in order.
	faults                      []fault
	reads, writes, writtenBytes int
}

// begin delays a call to the store, and fails it during an outage or if ctx ends.
func (fakeStore *fakeStore) begin(ctx context.Context) error {
	fakeStore.mu.Lock()
	delay, outage := fakeStore.delay, fakeStore.outage
	fakeStore.mu.Unlock()
	if outage {
		return connector.NewError(connector.Unavailable, "call", nil)
	}
	sleep(ctx, delay)
	if ctx.Err() != nil {
		return connector.NewError(connector.Unknown, "call", ctx.Err())
	}
	return nil
}

func (fakeStore *fakeStore) Get(ctx context.Context, key string) (connector.Entry, error) {
	if err := fakeStore.begin(ctx); err != nil {
		return connector.Entry{}, err
	}
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.reads++
	return fakeStore.entries[key], nil
}

func (fakeStore *fakeStore) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (connector.Entry, error) {
	if err := fakeStore.begin(ctx); err != nil {
		return connector.Entry{}, err
	}
	unknown := connector.NewError(connector.Unknown, "compare-and-swap", nil)
	switch fakeStore.nextFault() {
	case drop:
		return connector.Entry{}, unknown
	case late:
		time.AfterFunc(lateWriteDelay, func() { _, _ = fakeStore.write(key, version, data) })
		return connector.Entry{}, unknown
	case loseReply:
		_, _ = fakeStore.write(key, version, data)
		return connector.Entry{}, unknown
	}
	return fakeStore.write(key, version, data)
}

func (fakeStore *fakeStore) Delete(ctx context.Context, key string, version uint64) error {
	if err := fakeStore.begin(ctx); err != nil {
		return err
	}
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	if fakeStore.entries[key].Version() == version {
		delete(fakeStore.entries, key)
	}
	return nil
}

func (fakeStore *fakeStore) write(key string, version uint64, data []byte) (connector.Entry, error) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.writes++
	fakeStore.writtenBytes += len(data)
	if fakeStore.entries[key].Version() != version {
		return connector.Entry{}, connector.NewError(connector.Conflict, "compare-and-swap", nil)
	}
	if fakeStore.entries == nil {
		fakeStore.entries = make(map[string]connector.Entry)
	}
	fakeStore.version++
	entry := connector.NewEntry(data, fakeStore.version)
	fakeStore.entries[key] = entry
	return entry, nil
}

func (fakeStore *fakeStore) nextFault() fault {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	if len(fakeStore.faults) == 0 {
		return none
	}
	next := fakeStore.faults[0]
	fakeStore.faults = fakeStore.faults[1:]
	return next
}

// fakeHost is an entry host on the shared store; it can be paused.
type fakeHost struct {
	*fakeStore
	Claimer
	name  string
	fleet *fleet
	// stop cancels Run; done is closed when Run has returned.
	stop context.CancelFunc
	done chan struct{}
	// pauseMu guards paused.
	pauseMu sync.Mutex
	// paused is closed when a pause ends; it is nil if the host is not paused.
	paused chan struct{}
}

// fleet holds the store and the hosts of a test.
type fleet struct {
	store fakeStore
	hosts []*fakeHost
	// mu guards the fields below.
	mu sync.Mutex
	// live holds the names of the hosts that can own a shard.
	live []string
	// cut makes forwarding fail "before" or "after" the request is served.
	cut string
}

var errCut = errors.New("link is cut")

// newFleet starts one host for each letter of names.
func newFleet(ctx context.Context, names string, limits Limits) *fleet {
	fleet := &fleet{live: strings.Split(names, "")}
	layout := connector.NewEntry([]byte(strconv.Itoa(limits.Shards())), 1)
	fleet.store.entries = map[string]connector.Entry{layoutName: layout}
	for _, name := range fleet.live {
		host := &fakeHost{fakeStore: &fleet.store, name: name, fleet: fleet, done: make(chan struct{})}
		host.SetStore(host)
		host.SetHosts(host)
		host.SetForwarder(host)
		host.SetLimits(limits)
		fleet.hosts = append(fleet.hosts, host)
		ctx, host.stop = context.WithCancel(ctx)
		go host.run(ctx)
	}
	return fleet
}

func (fakeHost *fakeHost) run(ctx context.Context) {
	defer close(fakeHost.done)
	_ = fakeHost.Run(ctx)
}

// Close stops all hosts.
func (fleet *fleet) Close() {
	for _, host := range fleet.hosts {
		host.resume()
		host.stop()
		<-host.done
	}
}

func (fleet *fleet) host(name string) *fakeHost {
	for _, host := range fleet.hosts {
		if host.name == name {
			return host
		}
	}
	return nil
}

// Self returns the host's name.
func (fakeHost *fakeHost) Self() string { return fakeHost.name }

// Live returns the names of the hosts that can own a shard.
func (fakeHost *fakeHost) Live() []string {
	fakeHost.fleet.mu.Lock()
	defer fakeHost.fleet.mu.Unlock()
	return fakeHost.fleet.live
}

// Forward passes request to another host's Claimer.
func (fakeHost *fakeHost) Forward(ctx context.Context, name string, request []byte) ([]byte, error) {
	fakeHost.fleet.mu.Lock()
	cut := fakeHost.fleet.cut
	fakeHost.fleet.mu.Unlock()
	target := fakeHost.fleet.host(name)
	if cut == "before" || target == nil {
		return nil, errCut
	}
	reply := target.Serve(ctx, request)
	if cut == "after" {
		return nil, errCut
	}
	return reply, nil
}

// Get blocks while the host is paused, as in a paused process.
func (fakeHost *fakeHost) Get(ctx context.Context, key string) (connector.Entry, error) {
	fakeHost.wait()
	return fakeHost.fakeStore.Get(ctx, key)
}

// CompareAndSwap blocks while the host is paused, as in a paused process.
func (fakeHost *fakeHost) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (connector.Entry, error) {
	fakeHost.wait()
	return fakeHost.fakeStore.CompareAndSwap(ctx, key, version, data)
}

// wait blocks while the host is paused.
func (fakeHost *fakeHost) wait() {
	fakeHost.pauseMu.Lock()
	paused := fakeHost.paused
	fakeHost.pauseMu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (fakeHost *fakeHost) pause() {
	fakeHost.pauseMu.Lock()
	defer fakeHost.pauseMu.Unlock()
	fakeHost.paused = make(chan struct{})
}

func (fakeHost *fakeHost) resume() {
	fakeHost.pauseMu.Lock()
	defer fakeHost.pauseMu.Unlock()
	if fakeHost.paused != nil {
		close(fakeHost.paused)
		fakeHost.paused = nil
	}
}
