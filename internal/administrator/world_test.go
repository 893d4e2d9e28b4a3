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

// fakeStore is a store in memory with faults.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]connector.Entry
	version  uint64
	changed  chan struct{}
	outage   bool
	loseNext int
	// lateNext counts writes that take effect only after lateness, when their
	// caller has long been told that the outcome is unknown.
	lateNext int
	// outageAfterWrite lets the next write through and then refuses all.
	outageAfterWrite bool
	reads            int
	writes           int
	watches          int
	// watched counts the bytes that watches returned, snapshots those written
	// under the keys of base snapshots.
	watched   int
	snapshots int
	saved     map[string]connector.Entry
}

const lateness = 2 * time.Second

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
	if fakeStore.lateNext > 0 {
		fakeStore.lateNext--
		time.AfterFunc(lateness, func() {
			fakeStore.mu.Lock()
			defer fakeStore.mu.Unlock()
			_, _ = fakeStore.swap(key, version, data)
		})
		return connector.Entry{}, connector.NewError(connector.Unknown, "write", nil)
	}
	entry, err := fakeStore.swap(key, version, data)
	if err == nil && fakeStore.loseNext > 0 {
		fakeStore.loseNext--
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
		fakeStore.snapshots += len(data)
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
			fakeStore.watched += len(entry.Data())
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

// current returns the bytes of the head.
func (fakeStore *fakeStore) current() []byte {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	return fakeStore.entries[encoder.HeadKey].Data()
}

// set changes faults.
func (fakeStore *fakeStore) set(change func()) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	change()
}

// save and back stand for a store that loses its latest writes.
func (fakeStore *fakeStore) save() {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.saved = maps.Clone(fakeStore.entries)
}

func (fakeStore *fakeStore) back() {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.entries = maps.Clone(fakeStore.saved)
}

// entryHost is an entry host as far as the configuration goes.
type entryHost struct {
	world    *world
	name     string
	follower *follower.Follower
	echo     *echo.Echo
	recorder recorder.Recorder
	cancel   context.CancelFunc
	done     sync.WaitGroup
	// cut is true while the host can't reach its peers; world.mu guards it.
	cut bool
}

// world is a fleet of hosts, their store and their operators.
type world struct {
	t     *testing.T
	store *fakeStore
	// mu guards hosts, and cut of each.
	mu    sync.Mutex
	hosts map[string]*entryHost
	ids   int
}

func newWorld(t *testing.T) *world {
	return &world{t: t, store: newFakeStore(), hosts: map[string]*entryHost{}}
}

// keyOf returns the key of an operator, always the same.
func keyOf(operator string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(operator))
	return ed25519.NewKeyFromSeed(seed[:])
}

func publicOf(operator string) ed25519.PublicKey {
	return keyOf(operator).Public().(ed25519.PublicKey)
}

func (world *world) start(name string, watcher bool) {
	host := &entryHost{world: world, name: name, echo: echo.New()}
	host.recorder.SetProcess(name)
	host.follower = follower.New(world.store, host, &host.recorder)
	host.follower.SetWatcher(watcher)
	committee := submitter.New(world.store, host.follower, publicOf("root"))
	front := administrator.New(host.follower, committee, administrator.WithBootstrapKey(publicOf("root")),
		administrator.WithTimeLine(&host.recorder))
	front.Register(host.echo.Group(""))
	ctx, cancel := context.WithCancel(world.t.Context())
	host.cancel = cancel
	world.mu.Lock()
	world.hosts[name] = host
	world.mu.Unlock()
	host.done.Go(func() { _ = host.follower.Run(ctx) })
	host.done.Go(func() { host.push(ctx) })
	synctest.Wait()
}

// fleet starts the hosts a, b and c, of which a watches, and makes the first
// committee of members, the first of them as the chair.
func (world *world) fleet(members []string) {
	world.start("a", true)
	world.start("b", false)
	world.start("c", false)
	text := "propose chair " + members[0]
	for _, member := range members {
		text += fmt.Sprintf(", create member %s key KEY-%s", member, member)
	}
	answer := world.do(statement{host: "a", operator: members[0], signedBy: "root", id: "first", text: text})
	if !strings.Contains(answer, "accepted") {
		world.t.Fatal(answer)
	}
	time.Sleep(settleTime)
	synctest.Wait()
}

// settleTime is past the first polls of hosts that knew no revision; for half a
// second after it none polls, so sessions that cut hosts off don't hang on the
// jitter of polls.
const settleTime = 2 * time.Second

func (world *world) stop(name string) {
	host := world.hosts[name]
	host.cancel()
	host.done.Wait()
	world.mu.Lock()
	defer world.mu.Unlock()
	delete(world.hosts, name)
}

func (world *world) close() {
	for _, name := range slices.Collect(maps.Keys(world.hosts)) {
		world.stop(name)
	}
}

// setCut cuts the host off from its peers, or joins it to them again.
func (world *world) setCut(name string, cut bool) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.hosts[name].cut = cut
}

// peersOf returns the hosts that asker reaches, by name.
func (world *world) peersOf(asker *entryHost) []*entryHost {
	world.mu.Lock()
	defer world.mu.Unlock()
	var peers []*entryHost
	for _, name := range slices.Sorted(maps.Keys(world.hosts)) {
		if peer := world.hosts[name]; peer != asker && !peer.cut && !asker.cut {
			peers = append(peers, peer)
		}
	}
	return peers
}

// push tells the peers of each revision, as the peer links do.
func (entryHost *entryHost) push(ctx context.Context) {
	for {
		changed := entryHost.follower.Changed()
		revision := entryHost.follower.Current().Revision()
		for _, peer := range entryHost.world.peersOf(entryHost) {
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

// Fetch asks the peers as the peer links do.
func (entryHost *entryHost) Fetch(_ context.Context, since uint64) ([]byte, error) {
	peers := entryHost.world.peersOf(entryHost)
	for _, peer := range peers {
		if update := peer.follower.UpdateSince(since); len(update) > 0 {
			return update, nil
		}
	}
	if len(peers) == 0 {
		return nil, errors.New("no peer in reach")
	}
	return nil, nil
}

// statement is one signed request of an operator to a host.
type statement struct {
	host, operator, signedBy, id, text string
	age                                time.Duration
}

var keyPattern = regexp.MustCompile(`KEY-[a-z]+`)

func (world *world) request(statement statement) signer.Request {
	if statement.id == "" {
		world.ids++
		statement.id = fmt.Sprintf("id-%d", world.ids)
	}
	if statement.signedBy == "" {
		statement.signedBy = statement.operator
	}
	text := keyPattern.ReplaceAllStringFunc(statement.text, func(key string) string {
		return signer.FormatPublicKey(publicOf(strings.TrimPrefix(key, "KEY-")))
	})
	return signer.Request{
		Operator: statement.operator, Command: text, ID: statement.id, Time: time.Now().Add(-statement.age),
	}.Sign(keyOf(statement.signedBy))
}

// do sends the statement over HTTP and returns the answer as text.
func (world *world) do(statement statement) string {
	body, err := json.Marshal(world.request(statement))
	if err != nil {
		world.t.Fatal(err)
	}
	return world.post(statement.host, body)
}

func (world *world) post(name string, body []byte) string {
	request := httptest.NewRequest(http.MethodPost, administrator.CommandPath, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	response := httptest.NewRecorder()
	world.hosts[name].echo.ServeHTTP(response, request)
	if response.Code != http.StatusOK {
		var failure administrator.Failure
		if err := json.Unmarshal(response.Body.Bytes(), &failure); err != nil {
			world.t.Fatalf("%v: %s", err, response.Body)
		}
		return fmt.Sprintf("%d %s: %s\n", response.Code, failure.Kind, failure.Error)
	}
	var answer presenter.Answer
	if err := json.Unmarshal(response.Body.Bytes(), &answer); err != nil {
		world.t.Fatal(err)
	}
	return answer.Text()
}

// revisions says which revision is in force on each host.
func (world *world) revisions() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(world.hosts)) {
		fmt.Fprintf(&text, "%s: revision %d\n", name, world.hosts[name].follower.Current().Revision())
	}
	return text.String()
}
