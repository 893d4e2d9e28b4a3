package assigner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/pacer"
	"github.com/chivespool/chivespool/internal/placer"
)

// round is what the waiting requests of a service wait for: the next probes for one of
// them, its leader. The others then use its reports. A request also ends its wait when an
// answer shows a free slot.
type round struct {
	service string
	// due is when one of the requests becomes the leader.
	due time.Time
	// led is true once there is a leader; the assigner's mu guards it.
	led bool
	// freed ends the wait of one request for each value.
	freed chan struct{}
	// done is closed when the leader has the reports or has given up.
	done chan struct{}
}

// wait waits for capacity at service and returns the phase of the request after that. In
// phase [pacer.Leading], the round must be passed to finish once the request has reports.
// It returns false if ctx ended.
func (assigner *Assigner) wait(ctx context.Context, service string) (*round, pacer.Phase, bool) {
	round := assigner.join(time.Now(), service)
	timer := time.NewTimer(time.Until(round.due))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if assigner.lead(round) {
				return round, pacer.Leading, true
			}
		case <-round.freed:
			return nil, pacer.Following, true
		case <-round.done:
			return nil, pacer.Following, true
		case <-ctx.Done():
			return nil, pacer.Following, false
		}
	}
}

// join returns the round of service. It begins a new one if there is none, or if all
// requests have left it before it was due.
func (assigner *Assigner) join(now time.Time, service string) *round {
	assigner.mu.Lock()
	defer assigner.mu.Unlock()
	current, ok := assigner.rounds[service]
	if !ok || !current.led && now.After(current.due) {
		pause := placer.ProbeInterval/2 + rand.N(placer.ProbeInterval)
		current = &round{service: service, due: now.Add(pause), freed: make(chan struct{}), done: make(chan struct{})}
		assigner.rounds[service] = current
	}
	return current
}

// lead reports whether a request becomes the leader of a round that is due.
func (assigner *Assigner) lead(round *round) bool {
	assigner.mu.Lock()
	defer assigner.mu.Unlock()
	first := !round.led
	round.led = true
	return first
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

// Record records the report in the head of an answer of endpoint. If it shows a free slot,
// one of the requests that wait for the service searches again, without a probe.
func (assigner *Assigner) Record(now time.Time, endpoint definer.Endpoint, report definer.Report) {
	assigner.pacer.Record(now, endpoint, report)
	if report.Running() >= report.Slots() {
		return
	}
	assigner.mu.Lock()
	round := assigner.rounds[endpoint.Pool()]
	assigner.mu.Unlock()
	if round == nil {
		return
	}
	select {
	case round.freed <- struct{}{}:
	default: // None waits.
	}
}
