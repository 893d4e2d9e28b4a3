package runner

import (
	"net/http"
	"strings"
	"testing"

	"github.com/chivespool/chivespool/internal/definer"
)

// TestHostThatStartsInAnOutageKnowsTheSuspects starts a host while the store
// is out; it learns from its peer which request crashed a server.
func TestHostThatStartsInAnOutageKnowsTheSuspects(t *testing.T) {
	world := newWorld(t)
	world.accept(definer.SetPool("ledger"))
	first := world.daemon("entry-1", worldPlaces[0], "")
	suspect := [32]byte{7}
	if _, err := first.quarantiner.Admit(t.Context(), suspect); err != nil {
		t.Fatal(err)
	}
	if err := first.quarantiner.Crashed(t.Context(), suspect); err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, world.store+"/faults", strings.NewReader(`{"outage":true}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", response, err)
	}
	_ = response.Body.Close()
	second := world.daemon("entry-2", worldPlaces[0], "")
	for err == nil {
		// A suspect can't be tried without the store, so it is refused.
		_, err = second.quarantiner.Admit(t.Context(), suspect)
		if err == nil {
			second.quarantiner.Unsent(suspect)
		}
	}
}
