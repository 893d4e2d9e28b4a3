package tracker

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// placedDecoder reads endpoints of the service ledger whose value is their data centre.
type placedDecoder struct{ textDecoder }

func (placedDecoder) Endpoint(name string, value []byte) (definer.Endpoint, error) {
	return definer.NewEndpoint(name, "ledger", "10.0.0.1:1", definer.NewPlace("north", string(value)), 4), nil
}

// TestEvacuation guards against requests to an evacuated data centre, and against one that
// gets none after its evacuation has ended. A copy that lost the key counts as its end.
func TestEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keys := NewKeys("table", "endpoints/", "hosts/").WithEvacuations("evacuate/")
		builder := builder{decoder: placedDecoder{}, keys: keys, journal: discardJournal{}}
		var replica replica
		replica.replace([]Item{
			NewItem("table", []byte("1"), 1), NewItem("endpoints/a", []byte("centre-a"), 2), NewItem("endpoints/b", []byte("centre-b"), 3),
		}, definer.NewPoint(0, 3))
		usable := func(want ...string) {
			t.Helper()
			view := builder.build(time.Now(), &replica, false)
			names := view.Names()
			if len(names) != len(want) {
				t.Errorf("endpoints %v are in use, want %v", names, want)
			}
			for _, name := range want {
				if !names[name] {
					t.Errorf("endpoint %s is not in use", name)
				}
			}
		}
		usable("a", "b")
		replica.apply([]Item{NewItem("evacuate/centre-a", []byte("{}"), 4)}, definer.NewPoint(0, 4))
		usable("b")
		replica.apply([]Item{NewItem("endpoints/c", []byte("centre-a"), 5)}, definer.NewPoint(0, 5))
		usable("b")
		replica.apply([]Item{RemovedItem("evacuate/centre-a", 6)}, definer.NewPoint(0, 6))
		usable("a", "b", "c")
	})
}
