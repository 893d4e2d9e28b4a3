//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/platform"
)

// The bounds of the small deployment that the settings describe.
const (
	grace        = 6 * time.Second
	stableWindow = 3 * time.Second
	zoneName     = "nbo-a"
	regionName   = "nairobi"
	hostName     = "jepu9.example"
	healthPath   = "/health"
)

// record is the log of a run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{start: time.Now(), file: file}, err
}

func (record *record) add(format string, values ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.file, "%9.4f %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, values...))
}

// fleet is a store, gateways and endpoints on loopback addresses.
type fleet struct {
	record   *record
	folder   string
	keyspace *emulator.Keyspace
	operator *platform.Operator
	gateways []*gateway
	// network holds the first three bytes of the gateways' loopback addresses.
	network string
}

func newFleet(record *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "chivespool-review-")
	if err != nil {
		return nil, err
	}
	keyspace := &emulator.Keyspace{}
	fleet := &fleet{record: record, folder: folder, keyspace: keyspace, operator: platform.NewOperator(keyspace)}
	fleet.network = fmt.Sprintf("127.%d.%d", 1+rand.IntN(200), rand.IntN(250))
	return fleet, nil
}

// gateway is an entry host and its process.
type gateway struct {
	fleet                            *fleet
	name, ip                         string
	front, ready, control, directory string
	store                            *http.Server
	storeAddress                     string
	log                              *os.File
	mu                               sync.Mutex
	process                          *exec.Cmd
	ended                            chan struct{}
}

// addGateways creates gateways and their settings; start starts their processes.
func (fleet *fleet) addGateways(count int) error {
	for index := range count {
		gateway := &gateway{fleet: fleet, name: fmt.Sprintf("front-nbo-a-%d", index+1), ip: fmt.Sprintf("%s.%d", fleet.network, index+1)}
		for _, address := range []*string{&gateway.front, &gateway.ready, &gateway.control, &gateway.directory} {
			listener, err := net.Listen("tcp", gateway.ip+":0")
			if err != nil {
				return err
			}
			*address = listener.Addr().String()
			_ = listener.Close()
		}
		listener, err := net.Listen("tcp", gateway.ip+":0")
		if err != nil {
			return err
		}
		gateway.storeAddress = listener.Addr().String()
		gateway.store = &http.Server{Handler: platform.NewStoreServer(fleet.keyspace, &emulator.FaultInjector{}).Handler()}
		go func() { _ = gateway.store.Serve(listener) }()
		if gateway.log, err = os.Create(filepath.Join(fleet.folder, gateway.name+".log")); err != nil {
			return err
		}
		fleet.gateways = append(fleet.gateways, gateway)
	}
	for _, gateway := range fleet.gateways {
		if err := gateway.writeSettings(""); err != nil {
			return err
		}
	}
	return nil
}

var (
	zonesSection = regexp.MustCompile(`\{\{#zones\}\}.*\{\{/zones\}\}`)
	seedsSection = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)
	runLine      = regexp.MustCompile(`(?m)^run = "([^"]+)"`)
)

// writeSettings fills in the template that the deploy file names and appends extra.
func (gateway *gateway) writeSettings(extra string) error {
	template, err := os.ReadFile("deploy/gateway.ini")
	if err != nil {
		return err
	}
	var seeds []string
	for index, other := range gateway.fleet.gateways[:min(3, len(gateway.fleet.gateways))] {
		seeds = append(seeds, fmt.Sprintf("seed-%d=%s", index, other.control))
	}
	text := zonesSection.ReplaceAllString(string(template), zoneName+"="+regionName)
	text = seedsSection.ReplaceAllString(text, strings.Join(seeds, ", "))
	for name, value := range map[string]string{
		"node_name": gateway.name, "region": regionName, "zone": zoneName, "ip": gateway.ip,
		"listen.front": gateway.front, "listen.control": gateway.control,
		"listen.ready_address": gateway.ready, "listen.directory": gateway.directory,
		"limits.link_mbps": "1000.0", "platform.address": gateway.storeAddress,
		"bounds.config_apply_ms": "2000", "bounds.budget_slack": "56",
		"bounds.retry_budget_ratio": "0.2", "bounds.grace_s": "6",
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return errors.New("a placeholder of deploy/gateway.ini is unknown here")
	}
	return os.WriteFile(gateway.settings(), []byte(text+extra), 0o644)
}

func (gateway *gateway) settings() string {
	return filepath.Join(gateway.fleet.folder, gateway.name+".settings")
}

// start starts the process by the deploy file's command.
func (gateway *gateway) start() error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	match := runLine.FindSubmatch(deploy)
	if match == nil {
		return errors.New("deploy/system.toml names no command")
	}
	words := strings.Fields(string(match[1]))
	process := exec.Command(words[0], words[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "CHIVESPOOL_SETTINGS=" + gateway.settings()}
	process.Stdout, process.Stderr = gateway.log, gateway.log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	gateway.mu.Lock()
	gateway.process, gateway.ended = process, ended
	gateway.mu.Unlock()
	gateway.fleet.record.add("process %s starts, pid %d", gateway.name, process.Process.Pid)
	go func() {
		_ = process.Wait()
		gateway.fleet.record.add("process %s has ended: %v", gateway.name, process.ProcessState)
		close(ended)
	}()
	return nil
}

func (gateway *gateway) current() (*exec.Cmd, chan struct{}) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.process, gateway.ended
}

// running reports whether the process has not ended.
func (gateway *gateway) running() bool {
	_, ended := gateway.current()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

func (gateway *gateway) signal(signal syscall.Signal) {
	if !gateway.running() {
		return
	}
	process, _ := gateway.current()
	gateway.fleet.record.add("signal %v to %s", signal, gateway.name)
	_ = process.Process.Signal(signal)
}

// startAll starts all gateways and waits until they say that they are ready.
func (fleet *fleet) startAll() error {
	for _, gateway := range fleet.gateways {
		if err := gateway.start(); err != nil {
			return err
		}
	}
	for _, gateway := range fleet.gateways {
		if err := gateway.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (gateway *gateway) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		response, err := client.Get("http://" + gateway.ready + "/-/ready")
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

// recordedMessages are the messages of a gateway's log that the record includes.
var recordedMessages = []string{"panic", `"attempt failed"`, `"leaves"`, `"stopped"`, `"reloads"`}

// stop ends all processes that the fleet started.
func (fleet *fleet) stop() {
	for _, gateway := range fleet.gateways {
		if process, ended := gateway.current(); process != nil {
			_ = process.Process.Kill()
			<-ended
		}
		_ = gateway.store.Close()
		_ = gateway.log.Close()
		log, _ := os.ReadFile(gateway.log.Name())
		for line := range bytes.Lines(log) {
			if slices.ContainsFunc(recordedMessages, func(message string) bool { return bytes.Contains(line, []byte(message)) }) {
				fleet.record.add("log of %s: %s", gateway.name, bytes.TrimSpace(line))
			}
		}
	}
	_ = os.RemoveAll(fleet.folder)
}

// publish writes the configuration.
func (fleet *fleet) publish(version uint64, routes ...definer.Route) error {
	limits := definer.NewCallerLimits(16384, 64<<20, 3*time.Second, 15*time.Second)
	return fleet.operator.Publish(version, hostName, routes, healthPath, limits)
}

// newRoute returns a route with the attempts and the target of ledger-actions at the site
// tausi-ops.
func newRoute(name, prefix, service string, repeatable bool, timeout time.Duration) definer.Route {
	return definer.NewRoute(name, prefix, []definer.Destination{definer.NewDestination(service, 1)},
		definer.RouteRepeatable(repeatable), definer.RouteAttempts(2),
		definer.RouteTimeouts(timeout, 800*time.Millisecond), definer.RouteRank(1))
}
