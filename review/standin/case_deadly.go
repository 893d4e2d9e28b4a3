//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Sizes and times of the case.
const (
	deadlyEndpoints = 8
	deadlyTarget    = "/lepu270/2f/deadly"
	// deadlyCount is how often the request comes, and deadlyInterval the time between.
	deadlyCount    = 9
	deadlyInterval = 4500 * time.Millisecond
	// backAfter is the time after which a crashed endpoint is back.
	backAfter = 3 * time.Second
	// maxDeadly is the number of retries that the rule allows.
	maxDeadly = 3
)

// deadly has a request that crashes each endpoint that begins to run it come again and
// again, while other clients send requests that must not run twice to the same service.
func deadly(fleet *fleet, trouble bool) ([]string, error) {
	ledger := newLedger()
	var mu sync.Mutex
	var crashes []time.Time
	var add func(index, start int) error
	add = func(index, start int) error {
		endpoint := &endpoint{
			fleet: fleet, ledger: ledger, name: fmt.Sprintf("i-%04x%04x", 0x7f3a+start, index), service: "tile-api", slots: 4, queue: 16,
			work: func(string) time.Duration { return 150*time.Millisecond + rand.N(200*time.Millisecond) },
		}
		endpoint.deadly = func(request *http.Request) bool { return trouble && request.RequestURI == deadlyTarget }
		endpoint.onCrash = func() {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			time.Sleep(backAfter)
			_ = add(index, start+1)
			time.Sleep(4500*time.Millisecond - backAfter)
			fleet.operator.Unregister(endpoint.name)
		}
		return endpoint.listen()
	}
	for index := range deadlyEndpoints {
		if err := add(index, 0); err != nil {
			return nil, err
		}
	}
	if err := fleet.publish(1, newRoute("dash-reads", "/lepu270/", "tile-api", true, 1500*time.Millisecond),
		newRoute("ledger-actions", "/xapu221/", "tile-api", false, 1200*time.Millisecond)); err != nil {
		return nil, err
	}
	if err := fleet.addGateways(2); err != nil {
		return nil, err
	}
	if err := fleet.startAll(); err != nil {
		return nil, err
	}
	// The gateways are in touch from then on: only endpoints are disturbed.
	time.Sleep(stableWindow + time.Second)

	var outcomes []outcome
	var clients sync.WaitGroup
	ends := make(chan struct{})
	for range 16 {
		client := &client{fleet: fleet, keep: time.Second}
		clients.Add(1)
		go func() {
			defer clients.Done()
			defer client.disconnect()
			for {
				select {
				case <-ends:
					return
				case <-time.After(rand.N(200 * time.Millisecond)):
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
	var deadlies []outcome
	for range deadlyCount {
		client := &client{fleet: fleet, keep: time.Second}
		if client.connect() {
			deadlies = append(deadlies, client.send(http.MethodGet, deadlyTarget, "", 1500*time.Millisecond))
			client.disconnect()
		}
		time.Sleep(deadlyInterval)
	}
	close(ends)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	served, lost := 0, 0
	for _, outcome := range outcomes {
		if outcome.status == http.StatusOK {
			served++
		}
		if len(crashes) >= 3 && outcome.sent.After(crashes[2].Add(stableWindow)) && outcome.status != http.StatusOK && len(ledger.of(outcome.id)) > 0 {
			lost++
		}
	}
	if served < 100 {
		return nil, fmt.Errorf("only %d of %d requests of the other clients were served", served, len(outcomes))
	}
	reached := 0
	if len(crashes) >= 3 {
		bound := crashes[2].Add(stableWindow)
		for _, outcome := range deadlies {
			if runs := ledger.of(outcome.id); outcome.sent.After(bound) && len(runs) > 0 {
				reached++
				fleet.record.add("retry %s, sent %v after the third crash, reached %d endpoints", outcome.id, outcome.sent.Sub(crashes[2]).Round(time.Millisecond), len(runs))
			}
		}
	}
	fleet.record.add("%d crashes; %d requests of other clients, %d served; after the third crash and %v, %d of them were accepted, ran and were lost",
		len(crashes), len(outcomes), served, stableWindow, lost)
	if reached > maxDeadly {
		return []string{fmt.Sprintf("BUDGET: the request reached endpoints in %d retries later than %v after its third crash (allowed: %d); %d requests of other clients that had begun to run were lost in that time",
			reached, stableWindow, maxDeadly, lost)}, nil
	}
	return nil, nil
}
