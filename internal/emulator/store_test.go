package emulator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
)

// session runs commands on a store and a host list through their clients.
type session struct {
	store    *connector.Store
	hostList *connector.HostList
	base     string
	leases   map[string]connector.Lease
}

func newSession(t *testing.T) *session {
	t.Helper()
	store := httptest.NewServer(new(Store).Handler())
	hostList := httptest.NewServer(new(HostList).Handler())
	session := &session{
		store:    connector.NewStore(store.URL),
		hostList: connector.NewHostList(hostList.URL),
		base:     store.URL,
		leases:   make(map[string]connector.Lease),
	}
	t.Cleanup(func() {
		_ = session.store.Close()
		_ = session.hostList.Close()
		store.Close()
		hostList.Close()
	})
	return session
}

func TestPlatform(t *testing.T) {
	datadriven.Walk(t, "testdata/platform", func(t *testing.T, path string) {
		session := newSession(t)
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			t.Helper()
			return session.run(t, data)
		})
	})
}

func (session *session) run(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	var key, holder, state string
	var version, size int
	data.MaybeScanArgs(t, "key", &key)
	data.MaybeScanArgs(t, "version", &version)
	data.MaybeScanArgs(t, "size", &size)
	data.MaybeScanArgs(t, "holder", &holder)
	data.MaybeScanArgs(t, "state", &state)
	ctx, store := t.Context(), session.store
	switch data.Cmd {
	case "get":
		return showEntry(store.Get(ctx, key))
	case "cas":
		value := append([]byte(data.Input), bytes.Repeat([]byte("x"), size)...)
		return showEntry(store.CompareAndSwap(ctx, key, uint64(version), value))
	case "delete":
		return showError(store.Delete(ctx, key, uint64(version)))
	case "watch":
		return showEntry(store.Watch(ctx, key, uint64(version), time.Millisecond))
	case "acquire":
		return session.recordLease(store.Acquire(ctx, key, holder, time.Hour))
	case "renew":
		return session.recordLease(store.Renew(ctx, session.leases[holder]))
	case "release":
		return showError(store.Release(ctx, session.leases[holder]))
	case "faults":
		return session.put(t, "/faults", data.Input)
	case "calls":
		calls := store.Calls()
		return fmt.Sprintf("reads %d, writes %d, watches %d, errors %d",
			calls.Reads(), calls.Writes(), calls.Watches(), calls.Errors())
	case "put-host":
		host := definer.NewHost(key, "127.0.0.1:1", "127.0.0.1:2", definer.NewPlace("rift", "rift-a"), 3)
		if state == "leaving" {
			host = host.WithState(definer.Leaving)
		}
		return showError(session.hostList.Put(ctx, host))
	case "remove-host":
		return showError(session.hostList.Remove(ctx, key))
	case "hosts":
		hosts, err := session.hostList.Hosts(ctx)
		return fmt.Sprintf("%v\n%s", hosts, showError(err))
	}
	t.Fatalf("unknown command %s", data.Cmd)
	return ""
}

func (session *session) recordLease(lease connector.Lease, err error) string {
	if err != nil {
		return showError(err)
	}
	session.leases[lease.Holder()] = lease
	return fmt.Sprintf("%s has %s with fence %d", lease.Holder(), lease.Name(), lease.Fence())
}

func (session *session) put(t *testing.T, path, body string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, session.base+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.Status
}

func showEntry(entry connector.Entry, err error) string {
	if err != nil {
		return showError(err)
	}
	if len(entry.Data()) > 80 {
		return fmt.Sprintf("version %d: %d bytes", entry.Version(), len(entry.Data()))
	}
	return fmt.Sprintf("version %d: %q", entry.Version(), entry.Data())
}

func showError(err error) string {
	var failure *connector.CallError
	if errors.As(err, &failure) {
		return failure.Kind().String()
	}
	if err != nil {
		return err.Error()
	}
	return "ok"
}

func TestWatchReturnsOnWrite(t *testing.T) {
	session := newSession(t)
	watched := make(chan string, 1)
	go func() {
		watched <- showEntry(session.store.Watch(t.Context(), "key", 0, time.Minute))
	}()
	if _, err := session.store.CompareAndSwap(t.Context(), "key", 0, []byte("new")); err != nil {
		t.Fatal(err)
	}
	if got, want := <-watched, `version 1: "new"`; got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
}

// TestUnsentCallsAreUnavailable checks that calls which were never sent are
// reported as without effect, not as of unknown outcome.
func TestUnsentCallsAreUnavailable(t *testing.T) {
	session := newSession(t)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := session.store.CompareAndSwap(cancelled, "key", 0, nil)
	if got := showError(err); got != "unavailable" {
		t.Fatalf("cancelled: got %s", got)
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	store := connector.NewStore(closed.URL)
	if _, err = store.CompareAndSwap(t.Context(), "key", 0, nil); showError(err) != "unavailable" {
		t.Fatalf("refused: got %v", err)
	}
}
