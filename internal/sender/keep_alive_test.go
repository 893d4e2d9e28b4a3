package sender

import (
	"io"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/dispatcher"
)

// TestKeepAliveOfAnswers checks that a connection is kept for the time that the answer
// to a request names. The header was removed before it was read.
func TestKeepAliveOfAnswers(t *testing.T) {
	backend := startBackend(t, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok")
	sender := newSender(t)
	answer, err := sender.Send(t.Context(), backend.endpoint(), dispatcher.NewRequest("r-1", "ledger", "GET", "/", nil))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(answer); err != nil {
		t.Fatal(err)
	}
	if connection := sender.take(backend.endpoint(), time.Now().Add(7*time.Second), anyConnection); connection == nil {
		t.Error("a connection that the endpoint keeps for 10 s is not reused after 7 s")
	} else {
		_ = connection.Close()
	}
}

// TestIdlePoolKeepsNewest guards against closing the connection that has just come back
// instead of the one that expires first, so that an at-most-once request finds none that
// is fresh.
func TestIdlePoolKeepsNewest(t *testing.T) {
	sender, endpoint := newSender(t), startBackend(t, "").endpoint()
	if sender.HasIdle(endpoint) {
		t.Error("a pool without connections has an idle one")
	}
	var newest *connection
	for range maxIdlePerEndpoint + 1 {
		connection, err := sender.dial(t.Context(), endpoint)
		if err != nil {
			t.Fatal(err)
		}
		sender.put(connection)
		newest = connection
	}
	if !sender.HasIdle(endpoint) || len(sender.idle[newest.key]) != maxIdlePerEndpoint || sender.idle[newest.key][maxIdlePerEndpoint-1] != newest {
		t.Errorf("the pool keeps %d connections, and not the newest", len(sender.idle[newest.key]))
	}
}
