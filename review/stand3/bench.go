//go:build review3

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/platform"
)

// Bounds of a small site (sites/tausi-ops.toml).
const (
	applyBound   = 2 * time.Second
	drainBound   = 2 * time.Second
	stableWindow = 3 * time.Second
	graceBound   = 6 * time.Second
)

const (
	hostName   = "jepu9.example"
	healthPath = "/health"
	regionName = "nairobi"
	zoneName   = "nbo-a"
)

// bench holds the stand-ins of one case.
type bench struct {
	daemon  string
	folder  string
	trouble bool
	start   time.Time

	keyspace  *emulator.Keyspace
	store     *http.Server
	storeAddr string
	gateways  []*gateway
	closers   []func()

	// mu guards record.
	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

func newBench(daemon, record string, trouble bool) (*bench, error) {
	daemon, err := filepath.Abs(daemon)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(daemon); err != nil {
		return nil, fmt.Errorf("build the daemon first: %w", err)
	}
	folder, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	bench := &bench{daemon: daemon, folder: folder, trouble: trouble, start: time.Now(), keyspace: &emulator.Keyspace{}, record: bufio.NewWriter(file), file: file}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	bench.storeAddr = listener.Addr().String()
	bench.store = &http.Server{Handler: platform.NewStoreServer(bench.keyspace, &emulator.FaultInjector{}).Handler()}
	go func() { _ = bench.store.Serve(listener) }()
	bench.note("trouble=%v", trouble)
	return bench, nil
}

// close ends all processes and stand-ins.
func (bench *bench) close() {
	for _, gateway := range bench.gateways {
		gateway.kill()
	}
	for _, closer := range bench.closers {
		closer()
	}
	_ = bench.store.Close()
	bench.mu.Lock()
	defer bench.mu.Unlock()
	_ = bench.record.Flush()
	_ = bench.file.Close()
	_ = os.RemoveAll(bench.folder)
}

// at returns the time since the start of the case in milliseconds.
func (bench *bench) at() int64 { return time.Since(bench.start).Milliseconds() }

// note writes one line to the record and to standard output.
func (bench *bench) note(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	fmt.Println(text)
	bench.log("%s", text)
}

// log writes one line to the record.
func (bench *bench) log(format string, values ...any) {
	bench.mu.Lock()
	defer bench.mu.Unlock()
	fmt.Fprintf(bench.record, "%7d ms  %s\n", bench.at(), fmt.Sprintf(format, values...))
}

// put writes a key as the operator and the endpoints do.
func (bench *bench) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	var change emulator.Change
	change.Write(key, data, 0)
	bench.keyspace.Commit(change)
	return nil
}

// remove removes a key.
func (bench *bench) remove(key string) {
	var change emulator.Change
	change.Remove(key)
	bench.keyspace.Commit(change)
}

// route is one route of the operator's configuration.
type route struct {
	prefix, kind, service string
	timeoutMs             int
	targetMs              int
	attempts              int
}

// publish writes the configuration.
func (bench *bench) publish(version int, routes ...route) error {
	var policy, clusters []map[string]any
	known := make(map[string]bool)
	for index, route := range routes {
		policy = append(policy, map[string]any{
			"name": fmt.Sprintf("r-%d", index), "kind": route.kind, "target_latency_ms": route.targetMs, "priority": 1,
			"match":  map[string]any{"path_prefix": route.prefix},
			"action": map[string]any{"service": route.service, "timeout_ms": route.timeoutMs, "max_attempts": route.attempts},
		})
		if !known[route.service] {
			known[route.service] = true
			clusters = append(clusters, map[string]any{"name": route.service, "health_path": healthPath, "max_conns": 220, "protocol": "h1", "tls": false})
		}
	}
	return bench.put("op/config", map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": []any{map[string]any{"host": hostName, "policy": policy}}, "clusters": clusters,
	})
}

// gateway is one gateway process.
type gateway struct {
	name                                   string
	address, peer, ready, directory, meter string
	process                                *exec.Cmd
	ended                                  chan struct{}
}

// freeAddress returns a loopback address that no listener uses, below the ports of
// outgoing connections.
func freeAddress() (string, error) {
	for range 1000 {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", fmt.Errorf("no free port")
}

var nextPort = 12000 + rand.IntN(18000)

// startGateways starts count gateways, with the settings of deploy/gateway.ini, and waits
// until they are ready.
func (bench *bench) startGateways(count int) error {
	for index := range count {
		gateway := &gateway{name: fmt.Sprintf("front-%s-%d", zoneName, index+1)}
		for _, address := range []*string{&gateway.address, &gateway.peer, &gateway.ready, &gateway.directory, &gateway.meter} {
			var err error
			if *address, err = freeAddress(); err != nil {
				return err
			}
		}
		bench.gateways = append(bench.gateways, gateway)
	}
	var seeds []string
	for index, gateway := range bench.gateways[:min(3, count)] {
		seeds = append(seeds, fmt.Sprintf("seed-%d=%s", index, gateway.peer))
	}
	for _, gateway := range bench.gateways {
		if err := gateway.start(bench, strings.Join(seeds, ", ")); err != nil {
			return err
		}
	}
	for _, gateway := range bench.gateways {
		if err := gateway.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	bench.log("%d gateways are ready", count)
	return nil
}

// settingsText is deploy/gateway.ini, filled in.
const settingsText = `[host]
name = %s
region = nairobi
data-centre = nbo-a
address = %s
peer-address = %s
link-megabits = 1000.0

[platform]
store = http://%s
timeout = 1s

[gateway]
ready-address = %s
directory-address = %s
metrics-address = %s
data-centres = nbo-a=nairobi, nku-a=rift, mba-a=coast, nbo-b=nairobi, eld-b=rift, mld-b=coast
apply-bound = 2000ms
first-start = true
retry-slack = 56
probe-rate = 60

[routing]
retry-share = 0.2

[leaving]
bound = 6s

[peers]
plain = yes
seeds = %s
`

// start starts the process.
func (gateway *gateway) start(bench *bench, seeds string) error {
	file := filepath.Join(bench.folder, gateway.name+".ini")
	text := fmt.Sprintf(settingsText, gateway.name, gateway.address, gateway.peer, bench.storeAddr,
		gateway.ready, gateway.directory, gateway.meter, seeds)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(bench.folder, gateway.name+".log"))
	if err != nil {
		return err
	}
	gateway.process = exec.Command(bench.daemon, "gateway")
	gateway.process.Env = append(os.Environ(), "CHIVESPOOL_SETTINGS="+file)
	gateway.process.Stdout, gateway.process.Stderr = log, log
	gateway.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := gateway.process.Start(); err != nil {
		return err
	}
	gateway.ended = make(chan struct{})
	go func() {
		_ = gateway.process.Wait()
		_ = log.Close()
		close(gateway.ended)
	}()
	return nil
}

// kill ends the process.
func (gateway *gateway) kill() {
	if gateway.process == nil || gateway.process.Process == nil {
		return
	}
	_ = gateway.process.Process.Kill()
	<-gateway.ended
}

// isReady asks the gateway whether it is ready, as the platform does.
func (gateway *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + gateway.ready + "/-/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (gateway *gateway) awaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if gateway.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", gateway.name, timeout)
}
