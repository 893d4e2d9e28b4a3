package messenger

import (
	"testing"

	"github.com/chivespool/chivespool/internal/definer"
)

// TestSeedAnswersUnderAnotherName calls a host under a placeholder name. The call
// succeeds if the placeholder is a seed's; otherwise the host is refused, because
// its Hello has another name.
func TestSeedAnswersUnderAnotherName(t *testing.T) {
	bubble(t, func(t *testing.T) {
		var network pipes
		left, right := newTestHost(&network, "left", 1), newTestHost(&network, "right", 1)
		left.start(t)
		right.start(t)
		seed := definer.NewHost("seed-0", right.host.Address(), right.host.PeerAddress(), right.host.Place(), 0)
		left.SetPeers([]definer.Host{seed})
		_, err := left.echo(t.Context(), "seed-0", "ledger", 0)
		wantKind(t, err, Unreachable)
		left.SetPeers(nil)
		left.SetSeeds([]definer.Host{seed})
		if got, err := left.echo(t.Context(), "seed-0", "ledger", 0); got != "ledger" || err != nil {
			t.Errorf("a seed answers %q, %v", got, err)
		}
		left.setPeerHosts(right)
		if got, err := left.echo(t.Context(), "right", "ledger", 0); got != "ledger" || err != nil {
			t.Errorf("the same host under its own name answers %q, %v", got, err)
		}
		left.stop()
		right.stop()
	})
}
