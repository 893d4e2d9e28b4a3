package runner

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/pkg/client"
)

// BenchmarkCall sends small requests through one entry host; caller, entry host
// and endpoints share the process.
func BenchmarkCall(b *testing.B) {
	cluster := newCluster(b)
	changes := []definer.Change{definer.SetPool("tile"), definer.SetService(definer.NewService("tile", "tile"))}
	for index := range 12 {
		endpoint := cluster.startEndpoint(fmt.Sprintf("tile-%d", index), "tile", clusterPlaces[0])
		changes = append(changes, definer.SetEndpoint(endpoint))
	}
	cluster.bootstrap(changes...)
	daemon := cluster.startDaemon("entry-1", clusterPlaces[0], "")
	callers := client.New(daemon.self.Address())
	b.Cleanup(func() { _ = callers.Close() })
	b.ResetTimer()
	b.RunParallel(func(parallel *testing.PB) {
		for parallel.Next() {
			response, err := callers.Do(b.Context(), client.NewRequest("tile", http.MethodGet, "/a", nil))
			if err != nil {
				b.Error(err)
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
}
