package soaker

import (
	"context"
	"errors"
	"fmt"
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

const (
	// The gateways and half of the endpoints are in dataCentreName, the other endpoints in
	// farDataCentreName. Requests of the non-repeatable route stay in regionName.
	regionName        = "r"
	dataCentreName    = "r-a"
	farDataCentreName = "s-a"
	// restartTime is the time after which a process that ended is restarted.
	restartTime = 300 * time.Millisecond
)

// regions holds the region of each data centre.
var regions = map[string]string{dataCentreName: regionName, farDataCentreName: "s"}

// dataCentreOf returns the data centre for a number: both in turn.
func dataCentreOf(number int) string {
	if number%2 == 0 {
		return dataCentreName
	}
	return farDataCentreName
}

// gateway supervises the process of one gateway, and serves the store to it.
type gateway struct {
	name    string
	daemon  string
	folder  string
	journal *journal
	log     *os.File
	// address, directory, ready and peer are addresses: address accepts callers'
	// connections, directory their lookups, peer those of other gateways.
	address, directory, ready, peer string
	faultInjector                   *emulator.FaultInjector
	store                           *http.Server
	storeListener                   net.Listener
	taskGroup                       taskGroup
	// storeProxy is between the gateway and the store.
	storeProxy *proxy

	// mu guards the fields below.
	mu sync.Mutex
	// process is the current process; nil before the first start.
	process *exec.Cmd
	// ended is closed when process has ended.
	ended chan struct{}
	// starts counts the processes that were started.
	starts int
	// expected is true once the soak has sent a signal that ends process.
	expected bool
}

// newGateway returns a gateway whose process is not started.
func newGateway(index int, soaker *Soaker) (*gateway, error) {
	gateway := &gateway{
		name: fmt.Sprintf("g%d", index), daemon: soaker.options.daemon, folder: soaker.folder,
		journal: soaker.journal, faultInjector: &emulator.FaultInjector{},
	}
	var err error
	if gateway.storeListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, fmt.Errorf("listen for the emulated store: %w", err)
	}
	gateway.store = &http.Server{Handler: platform.NewStoreServer(soaker.keyspace, gateway.faultInjector).Handler()}
	gateway.taskGroup.add(context.Background(), &storeTask{gateway: gateway})
	if gateway.storeProxy, err = newProxy(gateway.storeListener.Addr().String()); err != nil {
		return nil, fmt.Errorf("start a proxy to the store: %w", err)
	}
	if gateway.log, err = os.Create(filepath.Join(gateway.folder, gateway.name+".log")); err != nil {
		return nil, fmt.Errorf("choose another folder for the output: %w", err)
	}
	return gateway, gateway.allocateAddresses()
}

// storeTask serves the store to one gateway.
type storeTask struct{ gateway *gateway }

func (storeTask *storeTask) run(context.Context) {
	_ = storeTask.gateway.store.Serve(storeTask.gateway.storeListener)
}

// settingsText is the template of a gateway's settings.
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
data-centres = %s=%s, %s=%s
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

// allocateAddresses chooses free addresses.
func (gateway *gateway) allocateAddresses() error {
	for _, address := range []*string{&gateway.address, &gateway.directory, &gateway.ready, &gateway.peer} {
		free, err := freeAddress()
		if err != nil {
			return err
		}
		*address = free
	}
	return nil
}

// writeSettings writes the settings file with seeds as the seed gateways.
func (gateway *gateway) writeSettings(seeds []*gateway) error {
	var names []string
	for index, seed := range seeds {
		names = append(names, fmt.Sprintf("seed-%d=%s", index, seed.peer))
	}
	text := fmt.Sprintf(settingsText, gateway.name, regionName, dataCentreName, gateway.address, gateway.peer,
		gateway.storeProxy.address(), gateway.ready, gateway.directory, dataCentreName, regionName,
		farDataCentreName, regions[farDataCentreName], applyBound, budgetSlack, budgetRatio,
		graceBound, strings.Join(names, ", "))
	return os.WriteFile(gateway.settingsFile(), []byte(text), 0o644)
}

// firstPort and lastPort bound the ports of gateways. They are below the
// system's range for outgoing connections, one of which could otherwise take the
// port of a gateway while its process is down. Each process takes a block of
// portsPerProcess of them, so that two that run at once do not share a port.
const (
	firstPort       = 12000
	lastPort        = 30000
	portsPerProcess = 1000
)

// portAllocator hands out the ports of this process in turn. The zero value is
// ready to use.
type portAllocator struct {
	// mu guards the fields below.
	mu sync.Mutex
	// block listens on the first port of the block; nil before the first call.
	block net.Listener
	// count is the number of ports that were handed out.
	count int
}

var ports portAllocator

// next returns the next port of the block.
func (portAllocator *portAllocator) next() (int, error) {
	portAllocator.mu.Lock()
	defer portAllocator.mu.Unlock()
	for port := firstPort; portAllocator.block == nil; port += portsPerProcess {
		if port+portsPerProcess > lastPort {
			return 0, fmt.Errorf("no free block of ports from %d to %d; stop the processes that use them", firstPort, lastPort)
		}
		portAllocator.block, _ = net.Listen("tcp", loopbackAddress(port)) // It fails if another process has the block.
	}
	portAllocator.count++
	return portAllocator.block.Addr().(*net.TCPAddr).Port + 1 + portAllocator.count%(portsPerProcess-1), nil
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// freeAddress returns a loopback address on which no listener is open.
func freeAddress() (string, error) {
	for range portsPerProcess {
		port, err := ports.next()
		if err != nil {
			return "", err
		}
		if listener, err := net.Listen("tcp", loopbackAddress(port)); err == nil {
			return loopbackAddress(port), listener.Close()
		}
	}
	return "", errors.New("all ports of this process are in use; run fewer fleets at once")
}

// touchSettings rewrites the settings file without a change of its settings.
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
	gateway.starts++
	gateway.journal.addDisturbance(gateway.name, time.Now(), time.Now(), false)
	gateway.journal.setProcessNumber(gateway.name, gateway.starts)
	return nil
}

// run restarts the process whenever it ends. Once ctx is done, it kills the
// process.
func (gateway *gateway) run(ctx context.Context) {
	for {
		process, ended := gateway.current()
		processWaiter := &processWaiter{process: process, ended: ended}
		go processWaiter.run()
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
			gateway.journal.addViolation("ended-by-itself", fmt.Sprintf("%s: %v", gateway.name, process.ProcessState))
		}
		if emulator.Pause(ctx, restartTime) != nil {
			return
		}
		if err := gateway.start(); err != nil {
			gateway.journal.addViolation("not-started", err.Error())
			return
		}
	}
}

// processWaiter waits for the end of one process.
type processWaiter struct {
	process *exec.Cmd
	ended   chan struct{}
}

func (processWaiter *processWaiter) run() {
	_ = processWaiter.process.Wait() // The outcome is in ProcessState.
	close(processWaiter.ended)
}

func (gateway *gateway) current() (*exec.Cmd, chan struct{}) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.process, gateway.ended
}

// signal sends a signal to the current process if it still runs.
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
	if signal == syscall.SIGHUP {
		gateway.journal.addReload(gateway.name)
	}
	_ = gateway.process.Process.Signal(signal) // The process may have ended meanwhile.
}

// stop stops the process as the platform does: SIGTERM, and SIGKILL after the
// grace period.
func (gateway *gateway) stop() {
	_, ended := gateway.current()
	gateway.journal.addStop(gateway.name)
	gateway.signal(syscall.SIGTERM)
	timer := time.NewTimer(graceBound)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		gateway.signal(syscall.SIGKILL) // It belongs to the stop, so that it is no disturbance.
	}
}

func (gateway *gateway) kill() {
	gateway.journal.addDisturbance(gateway.name, time.Now(), time.Now(), false)
	gateway.signal(syscall.SIGKILL)
}

// pause suspends the process for duration.
func (gateway *gateway) pause(duration time.Duration) {
	start := time.Now()
	gateway.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	gateway.signal(syscall.SIGCONT)
	gateway.journal.addDisturbance(gateway.name, start, time.Now(), true)
}

// close releases the resources of the gateway once its process has ended, and
// waits for its tasks.
func (gateway *gateway) close() {
	gateway.storeProxy.close()
	_ = gateway.store.Close()
	gateway.taskGroup.wait()
	_ = gateway.log.Close()
}
