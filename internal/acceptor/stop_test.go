package acceptor

import (
	"net/http"
	"testing"
	"time"
)

// TestRequestReadAtStop checks that the response before a request that is being read does
// not announce that the connection closes. It did, and the request was dropped.
func TestRequestReadAtStop(t *testing.T) {
	for _, begun := range []int{len("GET"), len(post("/2", "pay")) - 1} {
		fixture := newFixtureWith(t, testLimits, func(acceptor *Acceptor) { acceptor.SetLeaving(func() bool { return true }) })
		second := post("/2", "pay")
		fixture.send(t, get("/1"), second[:begun])
		fixture.awaitStart(t, "/1")
		fixture.awaitPhase(t)
		fixture.answer("/1")
		fixture.expect(t, http.MethodGet, http.StatusOK, "/1", false)
		fixture.send(t, second[begun:])
		fixture.awaitStart(t, "/2")
		fixture.answer("/2")
		fixture.expect(t, http.MethodPost, http.StatusOK, "/2", true)
	}
}

// awaitPhase waits until the connection reads a second request.
func (fixture *fixture) awaitPhase(t *testing.T) {
	t.Helper()
	connection := fixture.acceptor.openConnections()[0]
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		connection.mu.Lock()
		begun := connection.begun
		connection.mu.Unlock()
		if begun {
			return
		}
	}
	t.Fatal("the request is not read")
}
