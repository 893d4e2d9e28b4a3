package messenger

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// TestStoppedPeerRefusesDialRequests guards against a deadlock. The task of a peer
// ends while a dial request is pending; a call just after that sent a second
// request into the full channel and blocked for ever with the peer's mutex held.
// TestCostOfMembership showed it about once in 90 runs.
func TestStoppedPeerRefusesDialRequests(t *testing.T) {
	bubble(t, func(t *testing.T) {
		peer := newPeer(&Messenger{}, "entry-2")
		peer.setHost(definer.NewHost("entry-2", "127.0.0.1:1", "127.0.0.1:2", definer.Place{}, 1))
		if _, dialDone, err := peer.requestLink(time.Now()); dialDone == nil || err != nil {
			t.Fatalf("no dial was requested: %v", err)
		}
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		peer.stop(ended)
		if _, _, err := peer.requestLink(time.Now()); !errors.Is(err, errStopped) {
			t.Fatalf("a call after the stop gets %v, want %v", err, errStopped)
		}
	})
}
