package launcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/platform"
)

// crashingEndpoint is an endpoint that ends when it begins to run a request to a path
// with "deadly".
type crashingEndpoint struct {
	name    string
	server  *http.Server
	crashes *atomic.Int64
}

// startCrashingEndpoint starts an endpoint, which counts its end in crashes, and returns
// its registration.
func startCrashingEndpoint(t *testing.T, name string, crashes *atomic.Int64) definer.Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	endpoint := &crashingEndpoint{name: name, crashes: crashes, server: &http.Server{}}
	endpoint.server.Handler = platform.NewStubHandler(endpoint)
	go func() { _ = endpoint.server.Serve(listener) }()
	t.Cleanup(func() { _ = endpoint.server.Close() })
	return definer.NewEndpoint(name, "tile-api", listener.Addr().String(), definer.NewPlace("nairobi", "nbo-a"), 4).
		WithStartedAt(time.Now().UnixMilli())
}

// Name returns the endpoint's name.
func (crashingEndpoint *crashingEndpoint) Name() string { return crashingEndpoint.name }

// Report returns the report of an idle endpoint.
func (crashingEndpoint *crashingEndpoint) Report() definer.Report {
	return definer.NewReport(true, 0, 0, 4, 0)
}

// Serve answers a request, or closes the listener and all connections.
func (crashingEndpoint *crashingEndpoint) Serve(_ context.Context, request platform.StubRequest) platform.Result {
	answer := platform.Answered(http.StatusOK, []byte("done"))
	if !strings.Contains(request.Target(), "deadly") {
		return answer
	}
	crashingEndpoint.crashes.Add(1)
	_ = crashingEndpoint.server.Close()
	return answer.Cut(0)
}

// hostName is the name that callers address.
const hostName = "jepu9.example"

// gatewayText is a settings file of a gateway; its verbs are a name, the addresses of
// callers, peers, the store, readiness, the directory and metrics, and the bound of a
// planned stop.
const gatewayText = `[host]
name = %s
region = nairobi
data-centre = nbo-a
address = %s
peer-address = %s

[platform]
store = %s
timeout = 1s

[gateway]
ready-address = %s
directory-address = %s
metrics-address = %s
data-centres = nbo-a=nairobi
apply-bound = 2000ms
retry-slack = 56

[routing]
retry-share = 0.2

[leaving]
bound = %v

[peers]
plain = yes
`

// newGateway returns a gateway that stops within bound and logs to output, and its address
// for callers. All gateways of a test are created before the first one runs, since the log
// of the process belongs to the newest.
func newGateway(t *testing.T, name, store string, bound time.Duration, output io.Writer) (*Gateway, string) {
	t.Helper()
	addresses, err := emulator.FreeAddresses(5)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "gateway.ini")
	text := fmt.Sprintf(gatewayText, name, addresses[0], addresses[1], store, addresses[2], addresses[3], addresses[4], bound)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	gateway, err := New(file, output, nil)
	if err != nil {
		t.Fatal(err)
	}
	return gateway, addresses[0]
}

// runGateway runs a gateway in this process until the test ends or stop is called.
func runGateway(t *testing.T, gateway *Gateway) (stop context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- gateway.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return cancel
}

// send sends a request and returns the status of the answer, or 0 without one.
func send(address, method, path, body string) int {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := platform.NewClientRequest(fmt.Sprint("r-", time.Now().UnixNano()), method, hostName, path, []byte(body), 1500*time.Millisecond)
	if err != nil {
		return 0
	}
	request.URL.Host = address
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestDeadlyRequest sends a request that crashes endpoints to two gateways in turn until
// both refuse it, and then some more times. A gateway kept no record of such requests
// and sent them on for ever (review/5).
func TestDeadlyRequest(t *testing.T) {
	const (
		endpoints = 40
		// mostArrivals bounds the time until all gateways refuse the request.
		mostArrivals = endpoints / 2
	)
	for name, test := range map[string]struct{ method, path, body string }{
		"repeatable":   {http.MethodGet, "/many/deadly", ""},
		"at most once": {http.MethodPost, "/once/deadly", strings.Repeat("x", 1200)},
	} {
		t.Run(name, func(t *testing.T) {
			var keyspace emulator.Keyspace
			store := httptest.NewServer(platform.NewStoreServer(&keyspace, &emulator.FaultInjector{}).Handler())
			t.Cleanup(store.Close)
			operator := platform.NewOperator(&keyspace)
			var crashes atomic.Int64
			for index := range endpoints {
				if err := operator.Register(startCrashingEndpoint(t, fmt.Sprintf("i-%08x", index), &crashes)); err != nil {
					t.Fatal(err)
				}
			}
			route := func(name string, repeatable bool) definer.Route {
				return definer.NewRoute(name, "/"+name+"/", []definer.Destination{definer.NewDestination("tile-api", 1)},
					definer.RouteRepeatable(repeatable), definer.RouteAttempts(2), definer.RouteTimeouts(time.Second, 800*time.Millisecond))
			}
			limits := definer.NewCallerLimits(16384, 64<<20, 3*time.Second, 15*time.Second)
			if err := operator.Publish(1, hostName, []definer.Route{route("many", true), route("once", false)}, platform.StubHealthPath, limits); err != nil {
				t.Fatal(err)
			}
			first, firstAddress := newGateway(t, "front-nbo-a-1", store.URL, time.Second, io.Discard)
			second, secondAddress := newGateway(t, "front-nbo-a-2", store.URL, time.Second, io.Discard)
			runGateway(t, first)
			runGateway(t, second)
			gateways := []string{firstAddress, secondAddress}
			for _, gateway := range gateways {
				for send(gateway, http.MethodGet, "/many/sound", "") == 0 {
					time.Sleep(50 * time.Millisecond) // The gateway starts.
				}
			}
			refused := make(map[string]bool)
			for arrival := 0; len(refused) < len(gateways) && arrival < mostArrivals; arrival++ {
				gateway := gateways[arrival%len(gateways)]
				before := crashes.Load()
				if send(gateway, test.method, test.path, test.body) == http.StatusServiceUnavailable && crashes.Load() == before {
					refused[gateway] = true
				}
				time.Sleep(700 * time.Millisecond)
			}
			if len(refused) < len(gateways) {
				t.Fatalf("the request was not refused everywhere after %d crashes", crashes.Load())
			}
			before := crashes.Load()
			for arrival := range 6 {
				if status := send(gateways[arrival%len(gateways)], test.method, test.path, test.body); status != http.StatusServiceUnavailable {
					t.Errorf("the request was answered %d, want 503", status)
				}
			}
			if crashed := crashes.Load() - before; crashed > 0 {
				t.Errorf("the request crashed %d more endpoints after it was refused", crashed)
			}
			t.Logf("%d crashes until the request was refused everywhere", before)
		})
	}
}
