package assigner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chivespool/chivespool/internal/pacer"
	"github.com/chivespool/chivespool/internal/placer"
)

// round is what the waiting requests of a service wait for: the next probes for one of
// them, its leader. The others then use its reports.
type round struct {
	service string
	// done is closed when the leader has the reports or has given up.
	done chan struct{}
}

// wait waits for capacity at service. Of the requests that wait at the same time, the
// first is the leader: it gets the round after a pause, and must pass it to finish once it
// has reports. The others get nil when the round is finished. It returns false if ctx
// ended.
func (assigner *Assigner) wait(ctx context.Context, service string) (*round, bool) {
	assigner.mu.Lock()
	current, found := assigner.rounds[service]
	if !found {
		current = &round{service: service, done: make(chan struct{})}
		assigner.rounds[service] = current
	}
	assigner.mu.Unlock()
	if !found {
		if pause(ctx) {
			return current, true
		}
		assigner.finish(current)
		return nil, false
	}
	select {
	case <-current.done:
		return nil, true
	case <-ctx.Done():
		return nil, false
	}
}

// phaseOf returns the phase of a request that has waited and has got led.
func phaseOf(led *round) pacer.Phase {
	if led != nil {
		return pacer.Leading
	}
	return pacer.Following
}

// finish ends a round; nil is none.
func (assigner *Assigner) finish(round *round) {
	if round == nil {
		return
	}
	assigner.mu.Lock()
	defer assigner.mu.Unlock()
	if assigner.rounds[round.service] == round {
		delete(assigner.rounds, round.service)
	}
	close(round.done)
}

// pause waits between two rounds of probes. It returns false if ctx ended.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(placer.ProbeInterval/2 + rand.N(placer.ProbeInterval))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
