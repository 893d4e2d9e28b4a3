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

// fleet is a set of monitors that exchange digests in memory, and the host list
// that they read. Its fields are what may go wrong.
type fleet struct {
	mu       sync.Mutex
	stations map[string]*station
	random   *rand.Rand
	// loss is the share of exchanges that are lost.
	loss float64
	// cut reports whether messages from one host to another are lost.
	cut func(from, to definer.Host) bool
	// exchanges counts those that were begun, by sender.
	exchanges map[string]int
	// between counts exchanges between regions.
	between int
	listed  []definer.Host
	leaving map[string]bool
	reads   int
	listErr error
}

// station is one host with its monitor.
type station struct {
	Monitor
	fleet  *fleet
	host   definer.Host
	line   recorder.Recorder
	cancel context.CancelFunc
	done   chan struct{}
	// frozen is closed at the thaw, nil while the host is not frozen.
	frozen chan struct{}
	dead   bool
	// slow is how long the host takes to answer.
	slow time.Duration
}

var errLost = errors.New("lost")

func newFleet() *fleet {
	return &fleet{
		stations: make(map[string]*station), exchanges: make(map[string]int),
		random: rand.New(rand.NewPCG(6, 6)), cut: func(_, _ definer.Host) bool { return false },
		leaving: make(map[string]bool),
	}
}

// start adds a host, which the host list shows at once.
func (fleet *fleet) start(region, centre, name string, incarnation uint64) *station {
	host := definer.NewHost(name, "a", "p", definer.NewPlace(region, centre), incarnation)
	fleet.mu.Lock()
	fleet.listed = append(slices.DeleteFunc(fleet.listed, named(name)), host)
	fleet.mu.Unlock()
	return fleet.startUnlisted(host)
}

func named(name string) func(definer.Host) bool {
	return func(host definer.Host) bool { return host.Name() == name }
}

func (fleet *fleet) startUnlisted(host definer.Host) *station {
	station := &station{fleet: fleet, host: host, done: make(chan struct{})}
	station.SetSelf(host)
	station.SetExchanger(station)
	station.SetRecorder(&station.line)
	station.SetHostList(lister{station})
	fleet.mu.Lock()
	fleet.stations[host.Name()] = station
	fleet.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	station.cancel = cancel
	go station.run(ctx)
	return station
}

// startAll starts count hosts in each of regions, in two data centres each.
func (fleet *fleet) startAll(count int, regions ...string) {
	for _, region := range regions {
		for index := range count {
			fleet.start(region, fmt.Sprintf("%s-%d", region, index%2), fmt.Sprintf("%s-%03d", region, index), 1)
		}
	}
}

func (station *station) run(ctx context.Context) {
	defer close(station.done)
	station.Run(ctx)
}

// kill ends a host at once.
func (station *station) kill() {
	station.fleet.mu.Lock()
	station.dead = true
	station.fleet.mu.Unlock()
	station.cancel()
	<-station.done
}

func (fleet *fleet) stop() {
	for _, station := range fleet.stations {
		station.thaw()
		station.cancel()
		<-station.done
	}
}

func (station *station) freeze() {
	station.fleet.mu.Lock()
	defer station.fleet.mu.Unlock()
	station.frozen = make(chan struct{})
}

func (station *station) thaw() {
	station.fleet.mu.Lock()
	defer station.fleet.mu.Unlock()
	if station.frozen != nil {
		close(station.frozen)
		station.frozen = nil
	}
}

// Exchange carries a digest, as far as the fleet's faults let it.
func (station *station) Exchange(ctx context.Context, host string, digest Digest) (Digest, error) {
	fleet := station.fleet
	fleet.mu.Lock()
	fleet.exchanges[station.host.Name()]++
	to := fleet.stations[host]
	fleet.mu.Unlock()
	if to == nil {
		return Digest{}, errLost
	}
	if err := fleet.carry(ctx, station, to); err != nil {
		return Digest{}, err
	}
	answer := to.Answer(station.host.Name(), digest)
	if err := fleet.carry(ctx, to, station); err != nil {
		return Digest{}, err
	}
	return answer, nil
}

// Reach has via try host.
func (station *station) Reach(ctx context.Context, via, host string) error {
	helper := station.fleet.stations[via]
	if err := station.fleet.carry(ctx, station, helper); err != nil {
		return err
	}
	if err := helper.Monitor.Reach(ctx, host); err != nil {
		return err
	}
	return station.fleet.carry(ctx, helper, station)
}

func (fleet *fleet) countReads() int {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.reads
}

func (station *station) SetPeers([]definer.Host) {}

// carry takes as long as one message, and returns an error where it is lost.
func (fleet *fleet) carry(ctx context.Context, from, to *station) error {
	fleet.mu.Lock()
	delay := time.Millisecond + to.slow
	if from.host.Place().Region() != to.host.Place().Region() {
		delay = 12 * time.Millisecond
		fleet.between++
	}
	lost := fleet.cut(from.host, to.host) || fleet.random.Float64() < fleet.loss
	dead, frozen, held := to.dead, to.frozen, from.frozen
	fleet.mu.Unlock()
	switch {
	case held != nil:
		<-held
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
func (station *station) listHosts() ([]definer.Host, error) {
	station.fleet.mu.Lock()
	defer station.fleet.mu.Unlock()
	station.fleet.reads++
	return slices.Clone(station.fleet.listed), station.fleet.listErr
}

// lister is the host list as a station reads it.
type lister struct{ station *station }

func (lister lister) Hosts(context.Context) ([]definer.Host, error) {
	return lister.station.listHosts()
}

func (lister lister) Backends(context.Context) ([]connector.Backend, error) {
	fleet := lister.station.fleet
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

// want checks what every running host believes of the host called name.
func (fleet *fleet) want(t *testing.T, name string, want definer.HostState) {
	t.Helper()
	for _, station := range fleet.running() {
		if got, ok := station.believes(name); !ok || got != want {
			t.Errorf("%s believes that %s is %v (known: %v), want %v", station.host.Name(), name, got, ok, want)
		}
	}
}

func (fleet *fleet) running() []*station {
	var running []*station
	for _, station := range fleet.stations {
		if !station.dead && station.frozen == nil {
			running = append(running, station)
		}
	}
	return running
}

func (station *station) believes(name string) (definer.HostState, bool) {
	for _, host := range station.Members() {
		if host.Name() == name {
			return host.State(), true
		}
	}
	return definer.Gone, false
}

// wantAllLive checks that every running host believes every one to be live.
func (fleet *fleet) wantAllLive(t *testing.T) {
	t.Helper()
	for _, station := range fleet.running() {
		fleet.want(t, station.host.Name(), definer.Live)
	}
}

// changes counts how often any host thought worse of another one.
func (fleet *fleet) changes() int { return fleet.count("is suspect") + fleet.count("is gone") }

// count counts the events with text on the time lines of the running hosts.
func (fleet *fleet) count(text string) int {
	count := 0
	for _, station := range fleet.running() {
		for _, event := range station.line.Events(recorder.Stamp{}) {
			if event.Text() == text {
				count++
			}
		}
	}
	return count
}

// until waits in steps of 100 ms until done holds, and returns how long it took.
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
