//go:build review2

// Command standin2 holds the stand-ins of review/6 to review/10: a store, operators,
// endpoints and clients that follow the users' pages. It starts gateways as separate
// processes with the command of the deploy file.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/platform"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecorder(folder string) (*recorder, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file}, nil
}

// add writes one line with the time since the start.
func (recorder *recorder) add(format string, values ...any) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	fmt.Fprintf(recorder.file, "%8.3f s  %s\n", time.Since(recorder.start).Seconds(), fmt.Sprintf(format, values...))
}

// deployment is a small deployment on loopback.
type deployment struct {
	recorder *recorder
	folder   string
	keyspace *emulator.Keyspace
	store    net.Listener
	gateways []*gateway
}

// newDeployment starts the store.
func newDeployment(recorder *recorder) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	store, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	keyspace := new(emulator.Keyspace)
	go func() {
		_ = http.Serve(store, platform.NewStoreServer(keyspace, new(emulator.FaultInjector)).Handler())
	}()
	return &deployment{recorder: recorder, folder: folder, keyspace: keyspace, store: store}, nil
}

// put writes a key of the operator or of an endpoint to the store.
func (deployment *deployment) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	var change emulator.Change
	change.Write(key, data, 0)
	deployment.keyspace.Commit(change)
	return nil
}

// gateway is a process of the deploy file's role.
type gateway struct {
	name                             string
	front, ready, directory, control string
	metrics                          string
	process                          *exec.Cmd
	ended                            chan struct{}
}

// firstPort and lastPort bound the ports of gateways. They are below the system's range for
// outgoing connections, one of which could otherwise take a port before its gateway does.
const (
	firstPort = 12000
	lastPort  = 30000
)

// freeAddresses returns loopback addresses on which nothing listens.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range 100 * count {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp", address)
		if err != nil || slices.Contains(addresses, address) {
			continue
		}
		_ = listener.Close()
		if addresses = append(addresses, address); len(addresses) == count {
			return addresses, nil
		}
	}
	return nil, fmt.Errorf("fewer than %d free ports from %d to %d", count, firstPort, lastPort)
}

// startGateway starts a gateway with deploy/gateway.ini, filled in as for a small deployment.
func (deployment *deployment) startGateway(name string) (*gateway, error) {
	addresses, err := freeAddresses(5)
	if err != nil {
		return nil, err
	}
	return deployment.startAt(&gateway{
		name: name, front: addresses[0], ready: addresses[1], directory: addresses[2], control: addresses[3],
		metrics: addresses[4], ended: make(chan struct{}),
	})
}

// startAt starts the process of gateway.
func (deployment *deployment) startAt(gateway *gateway) (*gateway, error) {
	name := gateway.name
	template, err := os.ReadFile("deploy/gateway.ini")
	if err != nil {
		return nil, err
	}
	text := strings.NewReplacer(
		"{{node_name}}", name, "{{region}}", "tbilisi", "{{zone}}", "tbilisi-vake",
		"{{listen.front}}", gateway.front, "{{listen.control}}", gateway.control,
		"{{limits.link_mbps}}", "200", "{{platform.address}}", deployment.store.Addr().String(),
		"{{listen.ready_address}}", gateway.ready, "{{listen.directory}}", gateway.directory,
		"{{ip}}:9100", gateway.metrics, "{{#zones}}{{@}}={{.}}{{,}} {{/zones}}", "tbilisi-vake=tbilisi",
		"{{bounds.config_apply_ms}}", "3000", "{{first_start}}", "true",
		"{{bounds.budget_slack}}", "170", "{{bounds.probes_per_s}}", "42",
		"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.grace_s}}", "6",
		"{{#seeds}}seed-{{@}}={{.}}{{,}} {{/seeds}}", "seed-0="+deployment.seed(gateway),
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("deploy/gateway.ini has a placeholder that is not known here:\n%s", text)
	}
	settings := filepath.Join(deployment.folder, name+".ini")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(deployment.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	process := exec.Command("target/chivespoold", "gateway")
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHIVESPOOL_SETTINGS=" + settings}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return nil, err
	}
	gateway.process = process
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(gateway.ended)
	}()
	deployment.gateways = append(deployment.gateways, gateway)
	deployment.recorder.add("gateway %s starts, front %s", name, gateway.front)
	return gateway, nil
}

// seed returns the control address of the first gateway.
func (deployment *deployment) seed(starting *gateway) string {
	if len(deployment.gateways) > 0 {
		return deployment.gateways[0].control
	}
	return starting.control
}

// awaitReady waits until GET /-/ready is answered with 200.
func (gateway *gateway) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + gateway.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", gateway.name, limit)
}

// stop stops the process as the platform does: SIGTERM, and SIGKILL after grace.
func (gateway *gateway) stop(grace time.Duration) (killed bool) {
	_ = gateway.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-gateway.ended:
		return false
	case <-time.After(grace):
		_ = gateway.process.Process.Kill()
		<-gateway.ended
		return true
	}
}

// close ends all processes that were started and removes the temporary folder.
func (deployment *deployment) close() {
	for _, gateway := range deployment.gateways {
		_ = gateway.process.Process.Kill()
		<-gateway.ended
	}
	_ = deployment.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(deployment.folder)
	}
}
