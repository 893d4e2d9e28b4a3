package quarantiner

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/refuser"
)

// fakeStore is an in-memory store of one key, with fault injection.
type fakeStore struct {
	// mu guards all fields below.
	mu     sync.Mutex
	entry  connector.Entry
	outage bool
	// lostReplies is the number of further writes whose replies are lost.
	lostReplies int
	reads       int
	writes      int
}

func (fakeStore *fakeStore) Get(ctx context.Context, _ string) (connector.Entry, error) {
	sleep(ctx, 3*time.Millisecond)
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.reads++
	if fakeStore.outage {
		return connector.Entry{}, connector.NewError(connector.Unavailable, "get", nil)
	}
	return fakeStore.entry, nil
}

func (fakeStore *fakeStore) CompareAndSwap(ctx context.Context, _ string, version uint64, data []byte) (connector.Entry, error) {
	sleep(ctx, 3*time.Millisecond)
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.writes++
	if fakeStore.outage {
		return connector.Entry{}, connector.NewError(connector.Unavailable, "compare-and-swap", nil)
	}
	if version != fakeStore.entry.Version() {
		return connector.Entry{}, connector.NewError(connector.Conflict, "compare-and-swap", nil)
	}
	fakeStore.entry = connector.NewEntry(data, version+1)
	if fakeStore.lostReplies > 0 {
		fakeStore.lostReplies--
		return connector.Entry{}, connector.NewError(connector.Unknown, "compare-and-swap", nil)
	}
	return fakeStore.entry, nil
}

// fakeHost is an entry host that announces to the hosts of its fleet.
type fakeHost struct {
	Quarantiner
	fleet *fleet
	done  chan struct{}
}

func (fakeHost *fakeHost) run(ctx context.Context) {
	defer close(fakeHost.done)
	_ = fakeHost.Run(ctx)
}

// Announce delivers list to the hosts that are not disconnected.
func (fakeHost *fakeHost) Announce(_ context.Context, list []byte) error {
	fakeHost.fleet.mu.Lock()
	disconnected, hosts := fakeHost.fleet.disconnected, maps.Clone(fakeHost.fleet.hosts)
	fakeHost.fleet.mu.Unlock()
	var failed error
	for name, other := range hosts {
		if strings.Contains(disconnected, name) {
			failed = errors.New("a host is disconnected")
			continue
		}
		failed = errors.Join(failed, other.Merge(list))
	}
	return failed
}

// fleet holds the hosts a, b and c of one session, and their store.
type fleet struct {
	store  fakeStore
	hosts  map[string]*fakeHost
	cancel context.CancelFunc
	// pending holds the results of commands started in the background.
	pending map[string]chan string
	// mu guards disconnected, and hosts towards the tasks of hosts: only the test changes it.
	mu sync.Mutex
	// disconnected names the hosts that receive no announcements.
	disconnected string
}

func newFleet(ctx context.Context) *fleet {
	fleet := &fleet{hosts: make(map[string]*fakeHost), pending: make(map[string]chan string)}
	ctx, fleet.cancel = context.WithCancel(ctx)
	for _, name := range []string{"a", "b", "c"} {
		host := &fakeHost{fleet: fleet, done: make(chan struct{})}
		host.SetStore(&fleet.store)
		host.SetAnnouncer(host)
		fleet.hosts[name] = host
	}
	for _, host := range fleet.hosts {
		go host.run(ctx)
	}
	return fleet
}

// Close stops the hosts.
func (fleet *fleet) Close() {
	fleet.cancel()
	for _, host := range fleet.hosts {
		<-host.done
	}
}

func fingerprintOf(request string) [32]byte { return [32]byte([]byte(fmt.Sprintf("%-32s", request))) }

// run executes a command of one host that may block.
func (fleet *fleet) run(ctx context.Context, command, host, request string, result chan<- string) {
	started := time.Now()
	fingerprint := fingerprintOf(request)
	quarantiner := &fleet.hosts[host].Quarantiner
	text := "recorded"
	if command == "crash" {
		if err := quarantiner.Crashed(ctx, fingerprint); err != nil {
			text = "not recorded yet"
		}
	} else {
		admission, err := quarantiner.Admit(ctx, fingerprint)
		var refusal *refuser.Refusal
		switch {
		case errors.As(err, &refusal):
			text = fmt.Sprintf("%s (ran: %s)", refusal.Kind(), refusal.Ran())
		case admission.Isolated():
			text = "isolated"
		default:
			text = "runs"
		}
	}
	result <- fmt.Sprintf("%s after %v\n", text, time.Since(started).Round(time.Second))
}

// execute executes one command of a session.
func (fleet *fleet) execute(t *testing.T, data *datadriven.TestData) string {
	arg := func(key string) string {
		var value string
		data.MaybeScanArgs(t, key, &value)
		return value
	}
	host, request := arg("host"), arg("request")
	switch data.Cmd {
	case "admit", "crash":
		result := make(chan string, 1)
		go fleet.run(t.Context(), data.Cmd, host, request, result)
		if as := arg("as"); as != "" {
			fleet.pending[as] = result
			synctest.Wait()
			return ""
		}
		return <-result
	case "result":
		return <-fleet.pending[arg("as")]
	case "completed":
		fleet.hosts[host].Completed(fingerprintOf(request))
	case "unsent":
		fleet.hosts[host].Unsent(fingerprintOf(request))
	case "lost":
		fleet.hosts[host].OutcomeUnknown(fingerprintOf(request))
	case "join":
		joined := &fakeHost{fleet: fleet, done: make(chan struct{})}
		close(joined.done)
		joined.SetStore(&fleet.store)
		fleet.mu.Lock()
		fleet.hosts[host] = joined
		fleet.mu.Unlock()
	case "cut":
		fleet.mu.Lock()
		fleet.disconnected = arg("hosts")
		fleet.mu.Unlock()
	case "advance":
		wait, err := time.ParseDuration(arg("by"))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(wait)
	default:
		return fleet.executeStore(t, data.Cmd, arg)
	}
	return ""
}

func (fleet *fleet) executeStore(t *testing.T, command string, arg func(string) string) string {
	t.Helper()
	store := &fleet.store
	store.mu.Lock()
	defer store.mu.Unlock()
	switch command {
	case "store":
		store.outage = arg("outage") == "on"
		if arg("next") == "lose-reply" {
			store.lostReplies++
		}
	case "calls":
		text := fmt.Sprintf("%d reads, %d writes\n", store.reads, store.writes)
		store.reads, store.writes = 0, 0
		if arg("from") == "now" {
			return ""
		}
		return text
	default:
		t.Fatalf("unknown command %s", command)
	}
	return ""
}

// TestSessions runs the sessions under testdata in virtual time.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(t.Context())
			defer fleet.Close()
			datadriven.RunTest(t, path, fleet.execute)
		})
	})
}

// TestListOfLaterEra reads a list at a lower version of a later era of the store, which a
// host took for an old one and ignored.
func TestListOfLaterEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store fakeStore
		var quarantiner Quarantiner
		quarantiner.SetStore(&store)
		quarantiner.prepare()
		for _, entry := range []connector.Entry{connector.NewEntry(nil, 9), connector.NewEntry(nil, 5).WithEra(1)} {
			store.entry = entry
			if err := quarantiner.refresh(t.Context()); err != nil || quarantiner.point != entry.Point() {
				t.Errorf("the list is of %v, %v; want %v", quarantiner.point, err, entry.Point())
			}
		}
	})
}
