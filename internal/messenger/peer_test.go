package messenger

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// TestStoppedPeerRefusesDialRequests has a peer's task end while a demand waits for
// it. A call that came just after the stop put a second one into the channel
// and hung for ever with the peer's mutex held (TestCostOfMembership, once in
// some 90 runs).
func TestStoppedPeerTakesNoDemand(t *testing.T) {
	bubble(t, func(t *testing.T) {
		peer := newPeer(&Messenger{}, "entry-2")
		peer.setHost(definer.NewHost("entry-2", "127.0.0.1:1", "127.0.0.1:2", definer.Place{}, 1))
		if _, dialDone, err := peer.requestLink(time.Now()); dialDone == nil || err != nil {
			t.Fatalf("no attempt: %v", err)
		}
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		peer.stop(ended)
		if _, _, err := peer.requestLink(time.Now()); !errors.Is(err, errStopped) {
			t.Fatalf("a call after the stop gets %v, want %v", err, errStopped)
		}
	})
}
