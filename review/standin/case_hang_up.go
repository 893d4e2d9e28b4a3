//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the case.
const (
	hangUpRounds = 4
	// hangUpDelay is the time from SIGTERM to the change of the settings file.
	hangUpDelay = 3100 * time.Millisecond
	// longWork is the run time of one request in four, usualWork that of the others.
	longWork  = time.Second
	usualWork = 250 * time.Millisecond
)

// stop is a planned stop of a gateway.
type stop struct {
	gateway string
	at      time.Time
}

// hangUp stops gateways in turn, as in a rolling restart. While one of them stops, its
// settings file is rewritten and it gets SIGHUP.
func hangUp(fleet *fleet, trouble bool) ([]string, error) {
	ledger := newLedger()
	work := func(id string) time.Duration {
		if strings.ContainsAny(id[len(id)-1:], "048c") {
			return longWork
		}
		return usualWork
	}
	for index := range 16 {
		endpoint := &endpoint{fleet: fleet, ledger: ledger, name: fmt.Sprintf("i-%08x", 0x7f3a9100+index), service: "ledger-svc", slots: 4, queue: 16, work: work}
		if err := endpoint.listen(); err != nil {
			return nil, err
		}
	}
	if err := fleet.publish(1, newRoute("ledger-actions", "/xapu221/", "ledger-svc", false, 1200*time.Millisecond)); err != nil {
		return nil, err
	}
	if err := fleet.addGateways(2); err != nil {
		return nil, err
	}
	if err := fleet.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var outcomes []outcome
	var clients sync.WaitGroup
	ends := make(chan struct{})
	for index := range 80 {
		// Some clients keep a response of the directory for three times its ttl_s, and
		// some open a new connection for each request.
		fresh := index%4 != 0
		client := &client{fleet: fleet, keep: time.Second * time.Duration(1+2*(index%2))}
		clients.Add(1)
		go func() {
			defer clients.Done()
			defer client.disconnect()
			time.Sleep(rand.N(3 * time.Second))
			for {
				select {
				case <-ends:
					return
				case <-time.After(30 * time.Millisecond):
				}
				if client.connect() {
					outcome := client.send(http.MethodPost, "/xapu221/ny95/", strings.Repeat("x", 1200), 2*time.Second)
					if fresh {
						client.disconnect()
					}
					mu.Lock()
					outcomes = append(outcomes, outcome)
					mu.Unlock()
				}
			}
		}()
	}
	time.Sleep(2 * time.Second)
	var stops []stop
	for round := range hangUpRounds {
		gateway := fleet.gateways[round%len(fleet.gateways)]
		stops = append(stops, stop{gateway: gateway.name, at: time.Now()})
		gateway.signal(syscall.SIGTERM)
		_, ended := gateway.current()
		kill := time.AfterFunc(grace, func() { gateway.signal(syscall.SIGKILL) })
		if trouble {
			time.Sleep(hangUpDelay)
			if err := gateway.writeSettings(fmt.Sprintf("\n[logs]\nverbosity = %d\n", round%2)); err != nil {
				return nil, err
			}
			gateway.signal(syscall.SIGHUP)
		}
		<-ended
		kill.Stop()
		time.Sleep(500 * time.Millisecond)
		if err := gateway.start(); err != nil {
			return nil, err
		}
		if err := gateway.awaitReady(5 * time.Second); err != nil {
			return nil, err
		}
		time.Sleep(3 * time.Second)
	}
	close(ends)
	clients.Wait()

	var broken []string
	answered := 0
	for _, outcome := range outcomes {
		if outcome.status != 0 {
			answered++
			continue
		}
		runs := ledger.of(outcome.id)
		for _, stop := range stops {
			inStop := stop.gateway == outcome.gateway && outcome.ended.After(stop.at) && outcome.sent.Before(stop.at.Add(grace+time.Second))
			// Whether the process has read a request that no endpoint has got isn't known here.
			if inStop && !outcome.late && len(runs) > 0 {
				broken = append(broken, fmt.Sprintf("LOST: %s, sent to %s %v after its SIGTERM, ran %d times and its connection ended without an answer %v after the SIGTERM: %v",
					outcome.id, outcome.gateway, outcome.sent.Sub(stop.at).Round(time.Millisecond), len(runs), outcome.ended.Sub(stop.at).Round(time.Millisecond), outcome.err))
			}
		}
	}
	fleet.record.add("%d requests, %d answered, %d lost at planned stops", len(outcomes), answered, len(broken))
	if answered < 100 {
		return nil, fmt.Errorf("only %d of %d requests were answered", answered, len(outcomes))
	}
	return broken, nil
}
