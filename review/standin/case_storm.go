//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Sizes and times of the case.
const (
	stormLength = 105 * time.Second
	// stormGap is the time between versions within a storm of stormTime; stormPause is
	// the time between two storms.
	stormGap   = 330 * time.Millisecond
	stormTime  = 4 * time.Second
	stormPause = 200 * time.Millisecond
	// stormRoutes is the number of routes.
	stormRoutes = 2200
	// memoryLimit is memory_mb of the settings.
	memoryLimit = 184 << 20
)

// resident returns the memory of a process in bytes.
func resident(pid int) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range bytes.Lines(status) {
		if fields := strings.Fields(string(line)); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes << 10
		}
	}
	return 0
}

// storm publishes versions of a large configuration in quick succession, in storms with
// pauses. The platform kills a process that exceeds its memory.
func storm(fleet *fleet, trouble bool) ([]string, error) {
	ledger := newLedger()
	for index := range 12 {
		endpoint := &endpoint{
			fleet: fleet, ledger: ledger, name: fmt.Sprintf("i-%08x", 0x7f3a9100+index), service: "ledger-svc", slots: 4, queue: 16,
			work: func(string) time.Duration { return 250 * time.Millisecond },
		}
		if err := endpoint.listen(); err != nil {
			return nil, err
		}
	}
	routes := []definer.Route{newRoute("ledger-actions", "/xapu221/", "ledger-svc", false, 1200*time.Millisecond)}
	for index := range stormRoutes {
		routes = append(routes, newRoute(fmt.Sprintf("r-%08d", index), fmt.Sprintf("/fiti%06d/ti23/", index), "ledger-svc", true, time.Second))
	}
	if err := fleet.publish(1, routes...); err != nil {
		return nil, err
	}
	pair, _ := fleet.keyspace.Pair("op/config")
	fleet.record.add("the configuration has %d routes and %d bytes", len(routes), len(pair.Value()))
	if err := fleet.addGateways(2); err != nil {
		return nil, err
	}
	if err := fleet.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)

	ends := make(chan struct{})
	var tasks sync.WaitGroup
	var mu sync.Mutex
	var outcomes []outcome
	kills := 0
	for _, gateway := range fleet.gateways {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			most, logged := 0, time.Now()
			for {
				select {
				case <-ends:
					fleet.record.add("most memory of %s: %d MB", gateway.name, most>>20)
					return
				case <-time.After(50 * time.Millisecond):
				}
				process, ended := gateway.current()
				size := resident(process.Process.Pid)
				if most = max(most, size); time.Since(logged) > 5*time.Second {
					logged = time.Now()
					fleet.record.add("memory of %s: %d MB", gateway.name, size>>20)
				}
				if size > memoryLimit {
					fleet.record.add("the platform kills %s: %d MB of %d MB", gateway.name, size>>20, memoryLimit>>20)
					gateway.signal(syscall.SIGKILL)
					<-ended
					mu.Lock()
					kills++
					mu.Unlock()
					time.Sleep(500 * time.Millisecond)
					_ = gateway.start()
				}
			}
		}()
	}
	for range 32 {
		client := &client{fleet: fleet, keep: time.Second}
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			defer client.disconnect()
			for {
				select {
				case <-ends:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if client.connect() {
					outcome := client.send(http.MethodPost, "/xapu221/ny95/", strings.Repeat("x", 1200), 2*time.Second)
					mu.Lock()
					outcomes = append(outcomes, outcome)
					mu.Unlock()
				}
			}
		}()
	}
	version := uint64(1)
	for start := time.Now(); time.Since(start) < stormLength; {
		for in := time.Now(); time.Since(in) < stormTime; time.Sleep(stormGap) {
			if trouble {
				version++
				if err := fleet.publish(version, routes...); err != nil {
					return nil, err
				}
			}
		}
		time.Sleep(stormPause)
	}
	close(ends)
	tasks.Wait()

	// The rule counts requests of kept connections that one machine has passed on.
	served, lost := 0, make(map[string]int)
	for _, outcome := range outcomes {
		if outcome.status == http.StatusOK {
			served++
		}
		if outcome.status == 0 && !outcome.late && outcome.kept && len(ledger.of(outcome.id)) > 0 {
			lost[outcome.gateway]++
		}
	}
	fleet.record.add("%d versions, %d kills, %d requests, %d served, lost by machine: %v", version, kills, len(outcomes), served, lost)
	fmt.Printf("%d versions, %d kills, %d requests, %d served, lost by machine: %v\n", version, kills, len(outcomes), served, lost)
	if served < 100 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, len(outcomes))
	}
	var broken []string
	for name, count := range lost {
		if count > 3 {
			broken = append(broken, fmt.Sprintf("LOST: %s passed on %d requests of kept connections and gave no answer; processes exceeded their memory %d times", name, count, kills))
		}
	}
	return broken, nil
}
