package assigner

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/pacer"
)

// Time limits of probes.
const (
	// tierGrace is the wait for the rest of a tier after the first answer: a round
	// trip between data centres takes 2 ms, the rest is for processing.
	tierGrace = 4 * time.Millisecond
	// tierTimeout is the wait for the first answer: a round trip between regions
	// takes 24 ms, and a new connection takes another one.
	tierTimeout = 60 * time.Millisecond
	// probeTimeout bounds one probe, which may go on after the choice, so that its
	// connection is soon reused or closed.
	probeTimeout = 250 * time.Millisecond
)

// probe is one probe of an endpoint.
type probe struct {
	assigner *Assigner
	endpoint definer.Endpoint
	ticket   pacer.Ticket
	// subscribers receive the probe when it has ended. Each has room for all probes of its
	// tier, so that sending never blocks. The assigner's mu guards it.
	subscribers []chan<- *probe
	// report is the answer if err is nil; both are set before the probe is sent to its
	// subscribers.
	report definer.Report
	err    error
}

// start starts a probe of endpoint that is sent to results when it has ended. The caller
// holds mu.
func (assigner *Assigner) start(now time.Time, endpoint definer.Endpoint, results chan<- *probe) {
	probe := &probe{
		assigner: assigner, endpoint: endpoint, ticket: assigner.pacer.Begin(now, endpoint.Name()),
		subscribers: []chan<- *probe{results},
	}
	assigner.probes[endpoint.Name()] = probe
	assigner.tasks.Add(1)
	go probe.run()
}

// run probes the endpoint and sends the answer. It continues after the choice is
// made, so that the connection is reused and the endpoint's state is recorded.
func (probe *probe) run() {
	assigner := probe.assigner
	defer assigner.tasks.Done()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	probe.report, probe.err = probe.send(ctx)
	now := time.Now()
	if probe.err != nil {
		assigner.placer.RecordUnreachable(now, probe.endpoint.Name())
	} else {
		assigner.placer.RecordReachable(probe.endpoint.Name())
	}
	assigner.mu.Lock()
	assigner.pacer.End(now, probe.ticket, probe.report, probe.err == nil)
	if assigner.probes[probe.endpoint.Name()] == probe {
		delete(assigner.probes, probe.endpoint.Name())
	}
	subscribers := probe.subscribers
	assigner.mu.Unlock()
	for _, subscriber := range subscribers {
		subscriber <- probe
	}
}

// send probes the endpoint. A panic fails the probe.
func (probe *probe) send(ctx context.Context) (report definer.Report, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			klog.ErrorS(nil, "health check failed with a panic; please report it", "endpoint", probe.endpoint.Name(),
				"cause", cause, "stack", string(debug.Stack()))
			err = fmt.Errorf("panic: %v", cause)
		}
	}()
	return probe.assigner.prober.Probe(ctx, probe.endpoint)
}
