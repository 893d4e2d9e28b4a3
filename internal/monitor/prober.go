package monitor

import (
	"context"
	"time"
)

// prober carries out one probe.
type prober struct {
	monitor *Monitor
	probe   Probe
}

// run exchanges digests with the host, or probes it through a helper, and
// passes the result to the table.
func (prober *prober) run(ctx context.Context) {
	monitor := prober.monitor
	probe := prober.probe
	defer monitor.tasks.Done()
	started := time.Now()
	within, cancel := context.WithTimeout(ctx, probe.Timeout())
	defer cancel()
	var answer Digest
	var err error
	if probe.Via() != "" {
		err = monitor.exchanger.ProbeVia(within, probe.Via(), probe.Host())
	} else {
		answer, err = monitor.exchanger.Exchange(within, probe.Host(), monitor.digest(probe.Host()))
	}
	if ctx.Err() != nil {
		return
	}
	var more []Probe
	monitor.change(func(table *Table, now time.Time) {
		if err != nil {
			more = table.ProbeFailed(now, probe, started)
			return
		}
		if probe.Via() == "" {
			table.Merge(now, answer)
		}
		table.ProbeSucceeded(now, probe)
	})
	for _, probe := range more {
		monitor.start(ctx, probe)
	}
}

// digest returns the digest to send to a host.
func (monitor *Monitor) digest(to string) Digest {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.table.Digest(to)
}
