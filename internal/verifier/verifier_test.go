package verifier

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/quarantiner"
)

// fakeStore is a store whose readers see each change only after lag.
type fakeStore struct {
	// mu guards the fields below.
	mu   sync.Mutex
	lag  time.Duration
	past map[string][]version
	// delay is the time that a call takes each way.
	delay  time.Duration
	outage bool
	writes int
	// conflicts is the number of writes after which the entry was read.
	conflicts int
}

// version is an entry and the time of its write.
type version struct {
	entry connector.Entry
	at    time.Time
}

// newest returns the newest entry of key that is older than lag.
func (fakeStore *fakeStore) newest(key string, lag time.Duration) connector.Entry {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	past := fakeStore.past[key]
	for index := len(past) - 1; index >= 0; index-- {
		if time.Since(past[index].at) >= lag {
			return past[index].entry
		}
	}
	return connector.Entry{}
}

// callCount returns the number of calls: the writes, and the reads after conflicts.
func (fakeStore *fakeStore) callCount() int {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	return fakeStore.writes + fakeStore.conflicts
}

func (fakeStore *fakeStore) writeCount() int {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	return fakeStore.writes
}

func (fakeStore *fakeStore) setOutage(outage bool) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.outage = outage
}

// fakeCopy is a host's copy of the store. Only the quarantiners' task uses it.
type fakeCopy struct {
	store *fakeStore
	// latest holds the entries that the store returned after a write.
	latest map[string]connector.Entry
	// rejected is true while the store rejects the calls of this host.
	rejected atomic.Bool
	// rejections is the number of calls that it rejected.
	rejections atomic.Int64
}

func (fakeCopy *fakeCopy) Get(_ context.Context, key string) (connector.Entry, error) {
	latest := fakeCopy.latest[key]
	if entry := fakeCopy.store.newest(key, fakeCopy.store.lag); entry.Version() >= latest.Version() {
		return entry, nil
	}
	return latest, nil
}

func (fakeCopy *fakeCopy) CompareAndSwap(_ context.Context, key string, expected uint64, data []byte) (connector.Entry, error) {
	if fakeCopy.rejected.Load() {
		fakeCopy.rejections.Add(1)
		return connector.Entry{}, connector.NewError(connector.Unavailable, "compare-and-swap", nil)
	}
	store := fakeCopy.store
	time.Sleep(store.delay)
	defer time.Sleep(store.delay)
	current := store.newest(key, 0)
	fakeCopy.latest[key] = current
	store.mu.Lock()
	defer store.mu.Unlock()
	store.writes++
	if store.outage {
		return connector.Entry{}, connector.NewError(connector.Unavailable, "compare-and-swap", nil)
	}
	if current.Version() != expected {
		store.conflicts++
		return connector.Entry{}, connector.NewError(connector.Conflict, "compare-and-swap", nil)
	}
	entry := connector.NewEntry(data, expected+1)
	store.past[key] = append(store.past[key], version{entry: entry, at: time.Now()})
	return entry, nil
}

// fakeProber refuses the connections to endpoints that have crashed.
type fakeProber struct {
	mu      sync.Mutex
	crashed map[string]bool
	probes  int
}

func (fakeProber *fakeProber) Probe(_ context.Context, endpoint definer.Endpoint) (definer.Report, error) {
	fakeProber.mu.Lock()
	defer fakeProber.mu.Unlock()
	fakeProber.probes++
	if fakeProber.crashed[endpoint.Name()] {
		return definer.Report{}, fmt.Errorf("connect: %w", syscall.ECONNREFUSED)
	}
	return definer.Report{}, nil
}

func (fakeProber *fakeProber) probeCount() int {
	fakeProber.mu.Lock()
	defer fakeProber.mu.Unlock()
	return fakeProber.probes
}

type discardJournal struct{}

func (discardJournal) Change(string, ...any) {}

// host is one host of a fleet.
type host struct {
	*Verifier
	copy  *fakeCopy
	tasks sync.WaitGroup
}

func (host *host) run(ctx context.Context, task interface{ Run(context.Context) error }) {
	host.tasks.Go(func() { _ = task.Run(ctx) })
}

// lists is the number of lists that the hosts divide the suspects among, as gateways do.
const lists = 64

// withFleet runs test with hosts that share a store and a prober.
func withFleet(t *testing.T, count int, test func(hosts []*host, store *fakeStore, prober *fakeProber)) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{lag: 300 * time.Millisecond, past: make(map[string][]version)}
		prober := &fakeProber{crashed: make(map[string]bool)}
		ctx, cancel := context.WithCancel(t.Context())
		var hosts []*host
		for range count {
			limits := quarantiner.DefaultLimits().WithPoll(500 * time.Millisecond).
				WithRetry(4 * time.Second).WithoutTrials()
			copied := &fakeCopy{store: store, latest: make(map[string]connector.Entry)}
			group := quarantiner.NewGroup(copied, limits, lists)
			host := &host{Verifier: New(group, prober, discardJournal{}), copy: copied}
			host.run(ctx, group)
			host.run(ctx, host.Verifier)
			hosts = append(hosts, host)
			time.Sleep(7 * time.Millisecond) // The hosts read their copies at different times.
		}
		test(hosts, store, prober)
		cancel()
		for _, host := range hosts {
			host.tasks.Wait()
		}
	})
}

func endpoint(name string) definer.Endpoint {
	return definer.NewEndpoint(name, "tile-api", "127.0.0.1:1", definer.Place{}, 4)
}

// fingerprint returns that of the request called name.
func fingerprint(name string) [sha256.Size]byte { return sha256.Sum256([]byte(name)) }

// crash sends a request that crashes the endpoint called name, unless host refuses it.
// It reports whether the request was sent.
func (host *host) crash(t *testing.T, prober *fakeProber, request, name string) bool {
	admission, err := host.Admit(t.Context(), fingerprint(request))
	if err != nil {
		return false
	}
	prober.mu.Lock()
	prober.crashed[name] = true
	prober.mu.Unlock()
	if err := host.Crashed(t.Context(), dispatcher.NewRun(fingerprint(request), admission, endpoint(name))); err != nil {
		t.Error(err)
	}
	return true
}

// TestDeadlyRequestOverAllHosts sends a request that crashes endpoints again and again,
// to any host, with one or two attempts each time, as its route allows. Once it reached
// endpoints without end (review/5). At most three retries may reach one later than 3 s
// after the third crash.
func TestDeadlyRequestOverAllHosts(t *testing.T) {
	const stableWindow = 3 * time.Second
	for seed := range uint64(20) {
		for _, attempts := range []int{1, 2} {
			withFleet(t, 14, func(hosts []*host, _ *fakeStore, prober *fakeProber) {
				random := rand.New(rand.NewPCG(seed, 0))
				crashes, late := 0, 0
				var bound time.Time
				for arrival := range 12 {
					host := hosts[random.IntN(len(hosts))]
					reached := false
					for attempt := range attempts {
						if !host.crash(t, prober, "deadly", fmt.Sprint("i-", arrival, attempt)) {
							break
						}
						reached = true
						if crashes++; crashes == 3 {
							bound = time.Now().Add(stableWindow)
						}
					}
					if reached && crashes > 3 && time.Now().After(bound) {
						late++
					}
					time.Sleep(time.Duration(200+random.IntN(4500)) * time.Millisecond)
				}
				if late > 3 {
					t.Errorf("seed %d, %d attempts: %d retries reached endpoints later than %v after the third crash", seed, attempts, late, stableWindow)
				}
			})
		}
	}
}

// TestCrashTogether crashes many endpoints that run the same request at once. It must
// not count as deadly: none of the crashes followed another.
func TestCrashTogether(t *testing.T) {
	withFleet(t, 14, func(hosts []*host, store *fakeStore, prober *fakeProber) {
		for index, host := range hosts {
			host.crash(t, prober, "popular", fmt.Sprint("i-", index))
		}
		time.Sleep(3 * time.Second)
		for _, host := range hosts {
			if _, err := host.Admit(t.Context(), fingerprint("popular")); err != nil {
				t.Fatalf("refused after crashes at one moment: %v", err)
			}
		}
		if writes := store.writeCount(); writes > len(hosts) {
			t.Errorf("%d writes for one suspect", writes)
		}
		hosts[0].Completed(fingerprint("popular"))
		time.Sleep(3 * time.Second)
		hosts[1].crash(t, prober, "popular", "i-99")
		time.Sleep(3 * time.Second)
		if _, err := hosts[2].Admit(t.Context(), fingerprint("popular")); err != nil {
			t.Errorf("refused although it completed between two crashes: %v", err)
		}
	})
}

// TestManyCrashesAtOnce crashes endpoints while 28 hosts have requests at them, each a
// different one. Once all hosts wrote one list and conflicted with each other, so that
// 31 crashes took 393 calls of the store (issue 29, trouble-3 of tausi-ops-grown).
func TestManyCrashesAtOnce(t *testing.T) {
	const hostCount = 28
	withFleet(t, hostCount, func(hosts []*host, store *fakeStore, prober *fakeProber) {
		store.delay = 14 * time.Millisecond // The nearest region is 12 ms away.
		for index, host := range hosts {
			host.crash(t, prober, fmt.Sprint("unlucky-", index), fmt.Sprint("i-", index/3))
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		if calls := store.callCount(); calls > 3*hostCount {
			t.Errorf("%d calls of the store for crashes seen by %d hosts", calls, hostCount)
		}
		for index := range hosts {
			admission, err := hosts[0].Admit(t.Context(), fingerprint(fmt.Sprint("unlucky-", index)))
			if err != nil || admission == (quarantiner.Admission{}) {
				t.Errorf("suspect %d is not known on another host: %v", index, err)
			}
		}
	})
}

// TestLostConnections loses connections to endpoints that go on, and crashes endpoints
// during a request that completes elsewhere. Neither makes a suspect or a call of the
// store.
func TestLostConnections(t *testing.T) {
	withFleet(t, 2, func(hosts []*host, store *fakeStore, prober *fakeProber) {
		for index := range 10 {
			run := dispatcher.NewRun(fingerprint("unlucky"), quarantiner.Admission{}, endpoint(fmt.Sprint("i-", index)))
			_ = hosts[0].Crashed(t.Context(), run)
		}
		hosts[0].Completed(fingerprint("healthy"))
		hosts[0].crash(t, prober, "healthy", "i-99")
		time.Sleep(3 * time.Second)
		if writes := store.writeCount(); writes > 0 {
			t.Errorf("%d writes, want none", writes)
		}
		if probes := prober.probeCount(); probes != 10 {
			t.Errorf("%d checks of 10 lost connections", probes)
		}
	})
}

// TestDeadlyRequestInOutage crashes endpoints while the store is unavailable. The host
// refuses the request by its own record, writes seldom, and the others learn of it once
// the store is back.
func TestDeadlyRequestInOutage(t *testing.T) {
	withFleet(t, 3, func(hosts []*host, store *fakeStore, prober *fakeProber) {
		store.setOutage(true)
		for index := range 2 {
			hosts[0].crash(t, prober, "deadly", fmt.Sprint("i-", index))
			time.Sleep(time.Second)
		}
		if hosts[0].crash(t, prober, "deadly", "i-2") {
			t.Error("the host that saw two crashes sent the request again")
		}
		time.Sleep(18 * time.Second)
		if writes := store.writeCount(); writes > 10 {
			t.Errorf("%d writes in an outage of 20 s", writes)
		}
		store.setOutage(false)
		time.Sleep(6 * time.Second)
		if hosts[2].crash(t, prober, "deadly", "i-3") {
			t.Error("another host sent the request after the outage")
		}
	})
}

// TestRejectedHost lets the store reject one host, which has crashes to write in several
// lists. It must still learn of the suspects of the others, and write seldom.
func TestRejectedHost(t *testing.T) {
	withFleet(t, 3, func(hosts []*host, _ *fakeStore, prober *fakeProber) {
		rejected := hosts[0]
		rejected.copy.rejected.Store(true)
		for index := range 8 {
			rejected.crash(t, prober, fmt.Sprint("unlucky-", index), fmt.Sprint("i-", index))
		}
		time.Sleep(time.Second)
		for index := range 2 {
			hosts[1].crash(t, prober, "deadly", fmt.Sprint("i-9", index))
			time.Sleep(1500 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		if rejected.crash(t, prober, "deadly", "i-99") {
			t.Error("a host that the store rejects sent a request that the others refuse")
		}
		time.Sleep(12 * time.Second)
		if calls := rejected.copy.rejections.Load(); calls > 6 {
			t.Errorf("%d writes in 20 s that the store rejected", calls)
		}
		rejected.copy.rejected.Store(false)
		time.Sleep(6 * time.Second)
		for index := range 8 {
			admission, err := hosts[2].Admit(t.Context(), fingerprint(fmt.Sprint("unlucky-", index)))
			if err != nil || admission == (quarantiner.Admission{}) {
				t.Errorf("suspect %d was not written once the store answered: %v", index, err)
			}
		}
	})
}
