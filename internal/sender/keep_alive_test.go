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
