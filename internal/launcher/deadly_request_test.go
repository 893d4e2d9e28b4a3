package launcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
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
	name     string
	listener net.Listener
	crashes  *atomic.Int64
	// mu guards connections and ended.
	mu          sync.Mutex
	connections []net.Conn
	ended       bool
}

// startCrashingEndpoint starts an endpoint, which counts its end in crashes.
func startCrashingEndpoint(t *testing.T, name string, crashes *atomic.Int64) *crashingEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	crashingEndpoint := &crashingEndpoint{name: name, listener: listener, crashes: crashes}
	go crashingEndpoint.loop()
	t.Cleanup(crashingEndpoint.end)
	return crashingEndpoint
}

func (crashingEndpoint *crashingEndpoint) loop() {
	for {
		conn, err := crashingEndpoint.listener.Accept()
		if err != nil {
			return
		}
		crashingEndpoint.mu.Lock()
		crashingEndpoint.connections = append(crashingEndpoint.connections, conn)
		if crashingEndpoint.ended {
			_ = conn.Close()
		}
		crashingEndpoint.mu.Unlock()
		go crashingEndpoint.run(conn)
	}
}

// run serves one connection.
func (crashingEndpoint *crashingEndpoint) run(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if strings.Contains(request.URL.Path, "deadly") {
			crashingEndpoint.crashes.Add(1)
			crashingEndpoint.end()
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Instance-Load: 0,0,4\r\nContent-Length: 0\r\n\r\n", crashingEndpoint.name)
	}
}

// end closes the listener and all connections.
func (crashingEndpoint *crashingEndpoint) end() {
	crashingEndpoint.mu.Lock()
	defer crashingEndpoint.mu.Unlock()
	crashingEndpoint.ended = true
	_ = crashingEndpoint.listener.Close()
	for _, conn := range crashingEndpoint.connections {
		_ = conn.Close()
	}
}

// gatewayText is a settings file of a gateway; its verbs are a name, the addresses of
// callers, peers, the store, readiness, the directory and metrics.
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
bound = 1s

[peers]
plain = yes
`

// startGateway runs a gateway in this process until the test ends and returns the
// address for callers.
func startGateway(t *testing.T, name, store string) string {
	t.Helper()
	var addresses []string
	for range 5 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, listener.Addr().String())
		_ = listener.Close()
	}
	file := filepath.Join(t.TempDir(), "gateway.ini")
	text := fmt.Sprintf(gatewayText, name, addresses[0], addresses[1], store, addresses[2], addresses[3], addresses[4])
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	gateway, err := New(file, io.Discard, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- gateway.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("%s: %v", name, err)
		}
	})
	return addresses[0]
}

// send sends a request and returns the status of the answer, or 0 without one.
func send(address, method, path, body string) int {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "jepu9.example"
	request.Header.Set("X-Request-Id", fmt.Sprint("r-", time.Now().UnixNano()))
	request.Header.Set("X-Deadline-Ms", "1500")
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
			t.Parallel()
			var keyspace emulator.Keyspace
			store := httptest.NewServer(platform.NewStoreServer(&keyspace, &emulator.FaultInjector{}).Handler())
			t.Cleanup(store.Close)
			operator := platform.NewOperator(&keyspace)
			place := definer.NewPlace("nairobi", "nbo-a")
			var crashes atomic.Int64
			for index := range endpoints {
				endpoint := startCrashingEndpoint(t, fmt.Sprintf("i-%08x", index), &crashes)
				registered := definer.NewEndpoint(endpoint.name, "tile-api", endpoint.listener.Addr().String(), place, 4)
				if err := operator.Register(registered.WithStartedAt(time.Now().UnixMilli())); err != nil {
					t.Fatal(err)
				}
			}
			route := func(name string, repeatable bool) definer.Route {
				return definer.NewRoute(name, "/"+name+"/", []definer.Destination{definer.NewDestination("tile-api", 1)},
					definer.RouteRepeatable(repeatable), definer.RouteAttempts(2), definer.RouteTimeouts(time.Second, 800*time.Millisecond))
			}
			limits := definer.NewCallerLimits(16384, 64<<20, 3*time.Second, 15*time.Second)
			if err := operator.Publish(1, "jepu9.example", []definer.Route{route("many", true), route("once", false)}, "/health", limits); err != nil {
				t.Fatal(err)
			}
			gateways := []string{startGateway(t, "front-nbo-a-1", store.URL), startGateway(t, "front-nbo-a-2", store.URL)}
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
