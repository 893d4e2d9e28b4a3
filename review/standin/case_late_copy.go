//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Sizes and times of the case. Shares and lengths are within those of the days of
// tausi-ops: srv_grey "shed all" x = 0.55 for 8.5 s, garble "extra late" share = 0.6,
// x = 0.03 for 5 s.
const (
	copyCycles = 8
	cycleTime  = 10 * time.Second
	shedTime   = 8 * time.Second
	copyStart  = 2 * time.Second
	copyTime   = 5 * time.Second
	shedShare  = 0.2
	copyShare  = 0.03
	// maxCopyDelay bounds how late the copies are.
	maxCopyDelay = 200 * time.Millisecond
	copyInterval = 12 * time.Millisecond
)

// lateCopy has clients send requests that must not run twice to two services, each of
// one endpoint. At times both endpoints reject some of them, and one sends some of its
// answers again, late.
func lateCopy(fleet *fleet, trouble bool) ([]string, error) {
	ledger := newLedger()
	var start time.Time
	inCycle := func() time.Duration { return time.Since(start) % cycleTime }
	services := []string{"ledger-svc", "export-svc"}
	for index, service := range services {
		endpoint := &endpoint{
			fleet: fleet, ledger: ledger, name: fmt.Sprintf("i-%08x", 0x7f3a9100+index), service: service, slots: 4, queue: 16,
			work: func(string) time.Duration { return 40*time.Millisecond + rand.N(40*time.Millisecond) },
		}
		if trouble {
			endpoint.shed = func() bool { return inCycle() < shedTime && rand.Float64() < shedShare }
		}
		if trouble && index == 0 {
			endpoint.extra = func(bool) (time.Duration, bool) {
				now := inCycle()
				return rand.N(maxCopyDelay), now >= copyStart && now < copyStart+copyTime && rand.Float64() < copyShare
			}
		}
		if err := endpoint.listen(); err != nil {
			return nil, err
		}
	}
	if err := fleet.publish(1, newRoute("ledger-actions", "/xapu221/", services[0], false, 1200*time.Millisecond),
		newRoute("export-orders", "/fiti832/", services[1], false, 1200*time.Millisecond)); err != nil {
		return nil, err
	}
	if err := fleet.addGateways(1); err != nil {
		return nil, err
	}
	if err := fleet.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	start = time.Now()
	var mu sync.Mutex
	var outcomes []outcome
	var clients sync.WaitGroup
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for count := 0; time.Since(start) < copyCycles*cycleTime; count++ {
		<-ticker.C
		target := []string{"/xapu221/ny95/", "/fiti832/ti23/"}[count%len(services)]
		clients.Add(1)
		go func() {
			defer clients.Done()
			client := &client{fleet: fleet, keep: time.Second}
			if !client.connect() {
				return
			}
			defer client.disconnect()
			outcome := client.send(http.MethodPost, target, strings.Repeat("x", 1200), 2*time.Second)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, outcome)
		}()
	}
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	return runOnce(fleet, ledger, outcomes)
}

// runOnce checks the rules TWICE and REFUSED for requests that are not idempotent.
func runOnce(fleet *fleet, ledger *ledger, outcomes []outcome) ([]string, error) {
	var broken []string
	served := 0
	for _, outcome := range outcomes {
		if outcome.status == http.StatusOK {
			served++
		}
		var at []string
		for _, run := range ledger.of(outcome.id) {
			at = append(at, run.endpoint+" at "+fmt.Sprintf("%.4f", run.at.Sub(fleet.record.start).Seconds()))
		}
		if len(at) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran %d times: %s", outcome.id, len(at), strings.Join(at, ", ")))
		}
		if len(at) > 0 && slices.Contains([]int{429, 503, 408, 421}, outcome.status) {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and ran: %s", outcome.id, outcome.status, strings.Join(at, ", ")))
		}
	}
	fleet.record.add("%d requests, %d served", len(outcomes), served)
	if served < 50 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, len(outcomes))
	}
	return broken, nil
}
