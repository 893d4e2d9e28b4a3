package monitor

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/recorder"
)

// fleet is a set of hosts whose monitors exchange digests in memory, with the
// host list that they read. Tests inject faults through its fields.
type fleet struct {
	mu     sync.Mutex
	nodes  map[string]*node
	random *rand.Rand
	// loss is the share of exchanges that are lost.
	loss float64
	// isLost reports whether messages from one host to another are lost.
	isLost func(from, to definer.Host) bool
	// exchanges counts started exchanges by sender.
	exchanges map[string]int
	// crossRegion counts messages between regions.
	crossRegion int
	listed      []definer.Host
	leaving     map[string]bool
	reads       int
	listErr     error
}

// node is a host with its monitor.
type node struct {
	Monitor
	fleet    *fleet
	host     definer.Host
	timeline recorder.Recorder
	cancel   context.CancelFunc
	done     chan struct{}
	// frozen is closed when the node resumes; nil while it is not frozen.
	frozen chan struct{}
	dead   bool
	// delay is added to each message to the node from its own region.
	delay time.Duration
}

var errLost = errors.New("lost")

func newFleet() *fleet {
	return &fleet{
		nodes: make(map[string]*node), exchanges: make(map[string]int),
		random: rand.New(rand.NewPCG(6, 6)), isLost: func(_, _ definer.Host) bool { return false },
		leaving: make(map[string]bool),
	}
}

// start adds a host, which is on the host list at once.
func (fleet *fleet) start(region, dataCentre, name string, incarnation uint64) *node {
	host := definer.NewHost(name, "a", "p", definer.NewPlace(region, dataCentre), incarnation)
	fleet.mu.Lock()
	fleet.listed = append(slices.DeleteFunc(fleet.listed, named(name)), host)
	fleet.mu.Unlock()
	return fleet.startUnlisted(host)
}

func named(name string) func(definer.Host) bool {
	return func(host definer.Host) bool { return host.Name() == name }
}

func (fleet *fleet) startUnlisted(host definer.Host) *node {
	node := &node{fleet: fleet, host: host, done: make(chan struct{})}
	node.SetSelf(host)
	node.SetExchanger(node)
	node.SetRecorder(&node.timeline)
	node.SetHostList(lister{node})
	fleet.mu.Lock()
	fleet.nodes[host.Name()] = node
	fleet.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel = cancel
	go node.run(ctx)
	return node
}

// startAll starts count hosts in each of regions, in two data centres each.
func (fleet *fleet) startAll(count int, regions ...string) {
	for _, region := range regions {
		for index := range count {
			fleet.start(region, fmt.Sprintf("%s-%d", region, index%2), fmt.Sprintf("%s-%03d", region, index), 1)
		}
	}
}

func (node *node) run(ctx context.Context) {
	defer close(node.done)
	node.Run(ctx)
}

// kill stops a node without an announcement.
func (node *node) kill() {
	node.fleet.mu.Lock()
	node.dead = true
	node.fleet.mu.Unlock()
	node.cancel()
	<-node.done
}

func (fleet *fleet) stop() {
	for _, node := range fleet.nodes {
		node.resume()
		node.cancel()
		<-node.done
	}
}

func (node *node) freeze() {
	node.fleet.mu.Lock()
	defer node.fleet.mu.Unlock()
	node.frozen = make(chan struct{})
}

func (node *node) resume() {
	node.fleet.mu.Lock()
	defer node.fleet.mu.Unlock()
	if node.frozen != nil {
		close(node.frozen)
		node.frozen = nil
	}
}

// Exchange delivers a digest and its answer, subject to the injected faults.
func (node *node) Exchange(ctx context.Context, host string, digest Digest) (Digest, error) {
	fleet := node.fleet
	fleet.mu.Lock()
	fleet.exchanges[node.host.Name()]++
	to := fleet.nodes[host]
	fleet.mu.Unlock()
	if to == nil {
		return Digest{}, errLost
	}
	if err := fleet.deliver(ctx, node, to); err != nil {
		return Digest{}, err
	}
	answer := to.HandleDigest(node.host.Name(), digest)
	if err := fleet.deliver(ctx, to, node); err != nil {
		return Digest{}, err
	}
	return answer, nil
}

// ProbeVia asks via to probe host.
func (node *node) ProbeVia(ctx context.Context, via, host string) error {
	helper := node.fleet.nodes[via]
	if err := node.fleet.deliver(ctx, node, helper); err != nil {
		return err
	}
	if err := helper.Monitor.Probe(ctx, host); err != nil {
		return err
	}
	return node.fleet.deliver(ctx, helper, node)
}

func (fleet *fleet) countReads() int {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.reads
}

func (node *node) SetPeers([]definer.Host) {}

// deliver waits for the delay of one message, and returns an error if the
// message is lost.
func (fleet *fleet) deliver(ctx context.Context, from, to *node) error {
	fleet.mu.Lock()
	delay := time.Millisecond + to.delay
	if from.host.Place().Region() != to.host.Place().Region() {
		delay = 12 * time.Millisecond
		fleet.crossRegion++
	}
	lost := fleet.isLost(from.host, to.host) || fleet.random.Float64() < fleet.loss
	dead, frozen, senderFrozen := to.dead, to.frozen, from.frozen
	fleet.mu.Unlock()
	switch {
	case senderFrozen != nil:
		<-senderFrozen
		return errLost
	case lost || frozen != nil:
		<-ctx.Done()
		return ctx.Err()
	case dead:
		return errLost
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// listHosts reads the host list.
func (node *node) listHosts() ([]definer.Host, error) {
	node.fleet.mu.Lock()
	defer node.fleet.mu.Unlock()
	node.fleet.reads++
	return slices.Clone(node.fleet.listed), node.fleet.listErr
}

// lister is the host list as read by a node.
type lister struct{ node *node }

func (lister lister) Hosts(context.Context) ([]definer.Host, error) {
	return lister.node.listHosts()
}

func (lister lister) Backends(context.Context) ([]connector.Backend, error) {
	fleet := lister.node.fleet
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	var backends []connector.Backend
	for name, leaves := range fleet.leaving {
		state := definer.Live
		if leaves {
			state = definer.Leaving
		}
		backends = append(backends, connector.NewBackend(name, "b", state))
	}
	return backends, fleet.listErr
}

// want checks the state that every running node holds for the host called name.
func (fleet *fleet) want(t *testing.T, name string, want definer.HostState) {
	t.Helper()
	for _, node := range fleet.running() {
		if got, ok := node.stateOf(name); !ok || got != want {
			t.Errorf("%s holds %s as %v (known: %v), want %v", node.host.Name(), name, got, ok, want)
		}
	}
}

func (fleet *fleet) running() []*node {
	var running []*node
	for _, node := range fleet.nodes {
		if !node.dead && node.frozen == nil {
			running = append(running, node)
		}
	}
	return running
}

func (node *node) stateOf(name string) (definer.HostState, bool) {
	for _, host := range node.Members() {
		if host.Name() == name {
			return host.State(), true
		}
	}
	return definer.Gone, false
}

// wantAllLive checks that every running node holds every running host as live.
func (fleet *fleet) wantAllLive(t *testing.T) {
	t.Helper()
	for _, node := range fleet.running() {
		fleet.want(t, node.host.Name(), definer.Live)
	}
}

// downgrades counts the events in which a node held another host as suspect or
// gone.
func (fleet *fleet) downgrades() int { return fleet.count("is suspect") + fleet.count("is gone") }

// count returns the number of events with text on the timelines of the running
// nodes.
func (fleet *fleet) count(text string) int {
	count := 0
	for _, node := range fleet.running() {
		for _, event := range node.timeline.Events(recorder.Stamp{}) {
			if event.Text() == text {
				count++
			}
		}
	}
	return count
}

// until polls done every 100 ms, for at most limit, and returns the time that
// passed.
func until(limit time.Duration, done func() bool) time.Duration {
	const step = 100 * time.Millisecond
	for passed := time.Duration(0); passed < limit; passed += step {
		synctest.Wait()
		if done() {
			return passed
		}
		time.Sleep(step)
	}
	return limit
}
