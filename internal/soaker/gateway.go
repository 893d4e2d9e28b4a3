package soaker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/platform"
)

const (
	regionName = "r"
	centreName = "r-a"
	// restartTime is how long the platform takes to start a process again.
	restartTime = 300 * time.Millisecond
)

// gateway is a gateway's process, with its own way to the store.
type gateway struct {
	name    string
	daemon  string
	folder  string
	journal *journal
	log     *os.File
	// front and directory are where callers connect and ask, peer is where other
	// gateways do.
	front, directory, ready, peer string
	door                          *emulator.FaultInjector
	store                         *http.Server
	storeListener                 net.Listener
	crew                          crew
	// path is between the gateway and the store.
	path *proxy

	// mu guards the fields below.
	mu sync.Mutex
	// process is the one that runs; nil for none.
	process *exec.Cmd
	// ended is closed when process has ended.
	ended chan struct{}
	// lives counts the processes.
	lives int
	// expected is true once the soak has ended the process itself.
	expected bool
}

// newGateway makes a gateway that does not run yet.
func newGateway(index int, soaker *Soaker) (*gateway, error) {
	gateway := &gateway{
		name: fmt.Sprintf("g%d", index), daemon: soaker.options.daemon, folder: soaker.folder,
		journal: soaker.journal, door: &emulator.FaultInjector{},
	}
	var err error
	if gateway.storeListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, fmt.Errorf("serve the store: %w", err)
	}
	gateway.store = &http.Server{Handler: platform.NewStoreServer(soaker.keyspace, gateway.door).Handler()}
	gateway.crew.add(context.Background(), &storeTask{gateway: gateway})
	if gateway.path, err = newProxy(gateway.storeListener.Addr().String()); err != nil {
		return nil, fmt.Errorf("make a proxy: %w", err)
	}
	if gateway.log, err = os.Create(filepath.Join(gateway.folder, gateway.name+".log")); err != nil {
		return nil, fmt.Errorf("choose another folder for the output: %w", err)
	}
	return gateway, gateway.takeAddresses()
}

// storeTask serves a gateway's way to the store.
type storeTask struct{ gateway *gateway }

func (storeTask *storeTask) work(context.Context) {
	_ = storeTask.gateway.store.Serve(storeTask.gateway.storeListener)
}

// settingsText is the settings of a gateway: name, region, data centre, the
// addresses, the store's, the bounds, the seeds.
const settingsText = `[host]
name = %s
region = %s
data-centre = %s
address = %s
peer-address = %s

[platform]
store = http://%s
timeout = 1s

[gateway]
ready-address = %s
directory-address = %s
data-centres = %s=%s
apply-bound = %v
retry-slack = %d

[routing]
retry-share = %v

[leaving]
bound = %v

[peers]
plain = yes
seeds = %s
`

func (gateway *gateway) settingsFile() string {
	return filepath.Join(gateway.folder, gateway.name+".ini")
}

// takeAddresses finds addresses that are free.
func (gateway *gateway) takeAddresses() error {
	for _, address := range []*string{&gateway.front, &gateway.directory, &gateway.ready, &gateway.peer} {
		free, err := freeAddress()
		if err != nil {
			return err
		}
		*address = free
	}
	return nil
}

// writeSettings writes the settings file; seeds are gateways to ask at a start.
func (gateway *gateway) writeSettings(seeds []*gateway) error {
	var names []string
	for index, seed := range seeds {
		names = append(names, fmt.Sprintf("seed-%d=%s", index, seed.peer))
	}
	text := fmt.Sprintf(settingsText, gateway.name, regionName, centreName, gateway.front, gateway.peer,
		gateway.path.address(), gateway.ready, gateway.directory, centreName, regionName, applyBound, budgetSlack, budgetRatio,
		graceBound, strings.Join(names, ", "))
	return os.WriteFile(gateway.settingsFile(), []byte(text), 0o644)
}

// firstPort and lastPort bound the ports of gateways: below those that the
// system gives to outgoing connections, one of which could take the port of a
// gateway that is down.
const (
	firstPort = 12000
	lastPort  = 30000
)

// takenPorts counts the ports that this process has handed out.
var takenPorts atomic.Int64

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	for {
		port := firstPort + takenPorts.Add(1)
		if port > lastPort {
			return "", fmt.Errorf("all ports from %d to %d are taken; end what holds them", firstPort, lastPort)
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
}

// touchSettings changes the settings file without a change in what it says.
func (gateway *gateway) touchSettings() error {
	text, err := os.ReadFile(gateway.settingsFile())
	if err != nil {
		return err
	}
	return os.WriteFile(gateway.settingsFile(), []byte(strings.TrimSpace(string(text))+"\n\n"), 0o644)
}

// start starts the process.
func (gateway *gateway) start() error {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	process := exec.Command(gateway.daemon, "gateway", "--settings", gateway.settingsFile())
	process.Stdout, process.Stderr = gateway.log, gateway.log
	if err := process.Start(); err != nil {
		return fmt.Errorf("build the daemon first: %w", err)
	}
	gateway.process, gateway.ended, gateway.expected = process, make(chan struct{}), false
	gateway.lives++
	gateway.journal.disturbed(gateway.name, time.Now(), time.Now(), false)
	gateway.journal.started(gateway.name, gateway.lives)
	return nil
}

// work starts the process again whenever it ends, until ctx is done; then it
// ends it.
func (gateway *gateway) work(ctx context.Context) {
	for {
		process, ended := gateway.current()
		waiter := &waiter{process: process, ended: ended}
		go waiter.run()
		select {
		case <-ended:
		case <-ctx.Done():
			gateway.signal(syscall.SIGKILL)
			<-ended
			return
		}
		gateway.mu.Lock()
		expected := gateway.expected
		gateway.mu.Unlock()
		if !expected {
			gateway.journal.violated("ended-by-itself", fmt.Sprintf("%s: %v", gateway.name, process.ProcessState))
		}
		if emulator.Pause(ctx, restartTime) != nil {
			return
		}
		if err := gateway.start(); err != nil {
			gateway.journal.violated("not-started", err.Error())
			return
		}
	}
}

// waiter waits for the end of one process.
type waiter struct {
	process *exec.Cmd
	ended   chan struct{}
}

func (waiter *waiter) run() {
	_ = waiter.process.Wait() // How it ended is in its state.
	close(waiter.ended)
}

func (gateway *gateway) current() (*exec.Cmd, chan struct{}) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.process, gateway.ended
}

// signal sends a signal to the process that the soak started, if it still runs.
func (gateway *gateway) signal(signal syscall.Signal) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	select {
	case <-gateway.ended:
		return
	default:
	}
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		gateway.expected = true
	}
	_ = gateway.process.Process.Signal(signal) // It may have ended just now.
}

// stop stops the process as the platform does: a request to end, and an end by
// force once the grace time is over.
func (gateway *gateway) stop() {
	_, ended := gateway.current()
	gateway.journal.stopped(gateway.name)
	gateway.signal(syscall.SIGTERM)
	timer := time.NewTimer(graceBound)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		gateway.kill()
	}
}

// kill ends the process at once.
func (gateway *gateway) kill() {
	gateway.journal.disturbed(gateway.name, time.Now(), time.Now(), false)
	gateway.signal(syscall.SIGKILL)
}

// pause freezes the process for a while.
func (gateway *gateway) pause(duration time.Duration) {
	start := time.Now()
	gateway.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	gateway.signal(syscall.SIGCONT)
	gateway.journal.disturbed(gateway.name, start, time.Now(), true)
}

// close frees what the gateway holds; its process has ended. It waits.
func (gateway *gateway) close() {
	gateway.path.close()
	_ = gateway.store.Close()
	gateway.crew.wait()
	_ = gateway.log.Close()
}
