package administrator_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chivespool/chivespool/internal/administrator"
	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/follower"
	"github.com/chivespool/chivespool/internal/presenter"
	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/signer"
	"github.com/chivespool/chivespool/internal/submitter"
)

// fakeStore is an in-memory store with fault injection.
type fakeStore struct {
	mu          sync.Mutex
	entries     map[string]connector.Entry
	version     uint64
	changed     chan struct{}
	outage      bool
	loseReplies int
	// lateWrites is how many of the next writes take effect only after
	// lateWriteDelay; their callers get an unknown outcome at once.
	lateWrites int
	// outageAfterWrite starts an outage after the next write.
	outageAfterWrite bool
	reads            int
	writes           int
	watches          int
	// watchedBytes counts the bytes returned by watches, snapshotBytes those
	// written under the keys of base snapshots.
	watchedBytes  int
	snapshotBytes int
	savedEntries  map[string]connector.Entry
}

const lateWriteDelay = 2 * time.Second

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]connector.Entry{}, changed: make(chan struct{})}
}

func (fakeStore *fakeStore) Get(_ context.Context, key string) (connector.Entry, error) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.reads++
	if fakeStore.outage {
		return connector.Entry{}, connector.NewError(connector.Unavailable, "get", nil)
	}
	return fakeStore.entries[key], nil
}

func (fakeStore *fakeStore) CompareAndSwap(_ context.Context, key string, version uint64, data []byte) (connector.Entry, error) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.writes++
	switch {
	case fakeStore.outage:
		return connector.Entry{}, connector.NewError(connector.Unavailable, "write", nil)
	case fakeStore.outageAfterWrite:
		fakeStore.outageAfterWrite, fakeStore.outage = false, true
	}
	if fakeStore.lateWrites > 0 {
		fakeStore.lateWrites--
		time.AfterFunc(lateWriteDelay, func() {
			fakeStore.mu.Lock()
			defer fakeStore.mu.Unlock()
			_, _ = fakeStore.swap(key, version, data)
		})
		return connector.Entry{}, connector.NewError(connector.Unknown, "write", nil)
	}
	entry, err := fakeStore.swap(key, version, data)
	if err == nil && fakeStore.loseReplies > 0 {
		fakeStore.loseReplies--
		return connector.Entry{}, connector.NewError(connector.Unknown, "write", nil)
	}
	return entry, err
}

func (fakeStore *fakeStore) swap(key string, version uint64, data []byte) (connector.Entry, error) {
	if fakeStore.entries[key].Version() != version {
		return connector.Entry{}, connector.NewError(connector.Conflict, "write", nil)
	}
	fakeStore.version++
	if key != encoder.HeadKey {
		fakeStore.snapshotBytes += len(data)
	}
	fakeStore.entries[key] = connector.NewEntry(bytes.Clone(data), fakeStore.version)
	close(fakeStore.changed)
	fakeStore.changed = make(chan struct{})
	return fakeStore.entries[key], nil
}

func (fakeStore *fakeStore) Delete(_ context.Context, key string, _ uint64) error {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.writes++
	delete(fakeStore.entries, key)
	return nil
}

func (fakeStore *fakeStore) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (connector.Entry, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	fakeStore.mu.Lock()
	fakeStore.watches++
	fakeStore.mu.Unlock()
	for {
		fakeStore.mu.Lock()
		entry, changed, outage := fakeStore.entries[key], fakeStore.changed, fakeStore.outage
		if !outage && entry.Version() > version {
			fakeStore.watchedBytes += len(entry.Data())
		}
		fakeStore.mu.Unlock()
		if outage {
			return connector.Entry{}, connector.NewError(connector.Unavailable, "watch", nil)
		}
		if entry.Version() > version {
			return entry, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return connector.Entry{}, connector.NewError(connector.Unchanged, "watch", nil)
		case <-ctx.Done():
			return connector.Entry{}, connector.NewError(connector.Unavailable, "watch", ctx.Err())
		}
	}
}

func (fakeStore *fakeStore) setOutage(outage bool) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.outage = outage
	close(fakeStore.changed)
	fakeStore.changed = make(chan struct{})
}

// current returns the encoded head.
func (fakeStore *fakeStore) current() []byte {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	return fakeStore.entries[encoder.HeadKey].Data()
}

// setFaults calls change, which modifies fields, with the lock held.
func (fakeStore *fakeStore) setFaults(change func()) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	change()
}

// save and restoreSaved emulate a store that loses its latest writes.
func (fakeStore *fakeStore) save() {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.savedEntries = maps.Clone(fakeStore.entries)
}

func (fakeStore *fakeStore) restoreSaved() {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.entries = maps.Clone(fakeStore.savedEntries)
}

// entryHost is an entry host, reduced to the parts that keep the configuration.
type entryHost struct {
	testFleet *testFleet
	name      string
	follower  *follower.Follower
	echo      *echo.Echo
	recorder  recorder.Recorder
	cancel    context.CancelFunc
	done      sync.WaitGroup
	// isolated is true while the host can't reach its peers; testFleet.mu guards
	// it.
	isolated bool
}

// testFleet is a fleet of hosts with their store and operators.
type testFleet struct {
	t     *testing.T
	store *fakeStore
	// mu guards hosts, and isolated of each.
	mu    sync.Mutex
	hosts map[string]*entryHost
	ids   int
}

func newTestFleet(t *testing.T) *testFleet {
	return &testFleet{t: t, store: newFakeStore(), hosts: map[string]*entryHost{}}
}

// privateKeyOf derives the key of an operator from the name.
func privateKeyOf(operator string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(operator))
	return ed25519.NewKeyFromSeed(seed[:])
}

func publicKeyOf(operator string) ed25519.PublicKey {
	return privateKeyOf(operator).Public().(ed25519.PublicKey)
}

func (testFleet *testFleet) start(name string, watcher bool) {
	host := &entryHost{testFleet: testFleet, name: name, echo: echo.New()}
	host.recorder.SetProcess(name)
	host.follower = follower.New(testFleet.store, host, &host.recorder)
	host.follower.SetWatcher(watcher)
	committee := submitter.New(testFleet.store, host.follower, publicKeyOf("root"))
	api := administrator.New(host.follower, committee, administrator.WithBootstrapKey(publicKeyOf("root")),
		administrator.WithTimeLine(&host.recorder))
	api.Register(host.echo.Group(""))
	ctx, cancel := context.WithCancel(testFleet.t.Context())
	host.cancel = cancel
	testFleet.mu.Lock()
	testFleet.hosts[name] = host
	testFleet.mu.Unlock()
	host.done.Go(func() { _ = host.follower.Run(ctx) })
	host.done.Go(func() { host.offerRevisions(ctx) })
	synctest.Wait()
}

// bootstrap starts the hosts a, b and c, with a as the watcher, and creates the
// first committee from members, with the first as the chair.
func (testFleet *testFleet) bootstrap(members []string) {
	testFleet.start("a", true)
	testFleet.start("b", false)
	testFleet.start("c", false)
	text := "propose chair " + members[0]
	for _, member := range members {
		text += fmt.Sprintf(", create member %s key KEY-%s", member, member)
	}
	answer := testFleet.do(statement{host: "a", operator: members[0], signedBy: "root", id: "first", text: text})
	if !strings.Contains(answer, "accepted") {
		testFleet.t.Fatal(answer)
	}
	time.Sleep(bootstrapDelay)
	synctest.Wait()
}

// bootstrapDelay ends after the first polls of hosts without a configuration. No
// host polls in the half second after it, so sessions that isolate hosts do not
// depend on the jitter of polls.
const bootstrapDelay = 2 * time.Second

func (testFleet *testFleet) stop(name string) {
	host := testFleet.hosts[name]
	host.cancel()
	host.done.Wait()
	testFleet.mu.Lock()
	defer testFleet.mu.Unlock()
	delete(testFleet.hosts, name)
}

func (testFleet *testFleet) close() {
	for _, name := range slices.Collect(maps.Keys(testFleet.hosts)) {
		testFleet.stop(name)
	}
}

// setIsolated disconnects the host from its peers, or connects it again.
func (testFleet *testFleet) setIsolated(name string, isolated bool) {
	testFleet.mu.Lock()
	defer testFleet.mu.Unlock()
	testFleet.hosts[name].isolated = isolated
}

// peersOf returns the hosts that requester can reach, sorted by name.
func (testFleet *testFleet) peersOf(requester *entryHost) []*entryHost {
	testFleet.mu.Lock()
	defer testFleet.mu.Unlock()
	var peers []*entryHost
	for _, name := range slices.Sorted(maps.Keys(testFleet.hosts)) {
		if peer := testFleet.hosts[name]; peer != requester && !peer.isolated && !requester.isolated {
			peers = append(peers, peer)
		}
	}
	return peers
}

// offerRevisions sends each new revision to the peers, as the peer links do.
func (entryHost *entryHost) offerRevisions(ctx context.Context) {
	for {
		changed := entryHost.follower.Changed()
		revision := entryHost.follower.Current().Revision()
		for _, peer := range entryHost.testFleet.peersOf(entryHost) {
			if revision > 0 {
				peer.follower.ApplyOffer(revision, entryHost.follower.UpdateSince(revision-1))
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Fetch requests an update from the peers, as the peer links do.
func (entryHost *entryHost) Fetch(_ context.Context, since uint64) ([]byte, error) {
	peers := entryHost.testFleet.peersOf(entryHost)
	for _, peer := range peers {
		if update := peer.follower.UpdateSince(since); len(update) > 0 {
			return update, nil
		}
	}
	if len(peers) == 0 {
		return nil, errors.New("no peer reachable")
	}
	return nil, nil
}

// statement is one signed request of an operator to a host.
type statement struct {
	host, operator, signedBy, id, text string
	age                                time.Duration
}

var keyPattern = regexp.MustCompile(`KEY-[a-z]+`)

func (testFleet *testFleet) request(statement statement) signer.Request {
	if statement.id == "" {
		testFleet.ids++
		statement.id = fmt.Sprintf("id-%d", testFleet.ids)
	}
	if statement.signedBy == "" {
		statement.signedBy = statement.operator
	}
	text := keyPattern.ReplaceAllStringFunc(statement.text, func(key string) string {
		return signer.FormatPublicKey(publicKeyOf(strings.TrimPrefix(key, "KEY-")))
	})
	return signer.Request{
		Operator: statement.operator, Command: text, ID: statement.id, Time: time.Now().Add(-statement.age),
	}.Sign(privateKeyOf(statement.signedBy))
}

// do sends the statement over HTTP and returns the answer as text.
func (testFleet *testFleet) do(statement statement) string {
	body, err := json.Marshal(testFleet.request(statement))
	if err != nil {
		testFleet.t.Fatal(err)
	}
	return testFleet.post(statement.host, body)
}

func (testFleet *testFleet) post(name string, body []byte) string {
	request := httptest.NewRequest(http.MethodPost, administrator.CommandPath, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	response := httptest.NewRecorder()
	testFleet.hosts[name].echo.ServeHTTP(response, request)
	if response.Code != http.StatusOK {
		var failure administrator.Failure
		if err := json.Unmarshal(response.Body.Bytes(), &failure); err != nil {
			testFleet.t.Fatalf("%v: %s", err, response.Body)
		}
		return fmt.Sprintf("%d %s: %s\n", response.Code, failure.Kind, failure.Error)
	}
	var answer presenter.Answer
	if err := json.Unmarshal(response.Body.Bytes(), &answer); err != nil {
		testFleet.t.Fatal(err)
	}
	return answer.Text()
}

// revisions lists the revision in force on each host.
func (testFleet *testFleet) revisions() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(testFleet.hosts)) {
		fmt.Fprintf(&text, "%s: revision %d\n", name, testFleet.hosts[name].follower.Current().Revision())
	}
	return text.String()
}
