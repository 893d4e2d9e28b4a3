package runner

import (
	"net/http"
	"strings"
	"testing"

	"github.com/chivespool/chivespool/internal/definer"
)

// TestHostStartedDuringOutageLearnsSuspects starts a host during a store outage:
// it must fetch the suspect requests from its peer.
func TestHostStartedDuringOutageLearnsSuspects(t *testing.T) {
	cluster := newCluster(t)
	cluster.bootstrap(definer.SetPool("ledger"))
	first := cluster.startDaemon("entry-1", clusterPlaces[0], "")
	suspect := [32]byte{7}
	if _, err := first.quarantiner.Admit(t.Context(), suspect); err != nil {
		t.Fatal(err)
	}
	if err := first.quarantiner.Crashed(t.Context(), suspect); err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, cluster.store+"/faults", strings.NewReader(`{"outage":true}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", response, err)
	}
	_ = response.Body.Close()
	second := cluster.startDaemon("entry-2", clusterPlaces[0], "")
	for err == nil {
		// A suspect is not admitted without the store.
		_, err = second.quarantiner.Admit(t.Context(), suspect)
		if err == nil {
			second.quarantiner.Unsent(suspect)
		}
	}
}
