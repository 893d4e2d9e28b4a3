package monitor

import (
	"context"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Hosts returns all entry hosts that are not gone, as [Table.Hosts] does.
func (monitor *Monitor) Hosts() []definer.Host {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.table.Hosts(time.Now())
}

// Members returns all known entry hosts, including gone ones.
func (monitor *Monitor) Members() []definer.Host {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.table.Members()
}

// Draining returns the names of the endpoints that receive no new work because
// the host list shows them as leaving.
func (monitor *Monitor) Draining() []string {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.table.Draining()
}

// Watcher returns the host that does the shared tasks of the data centre at
// place, as [Table.Watcher] does.
func (monitor *Monitor) Watcher(place definer.Place) (definer.Host, bool) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.table.Watcher(place)
}

// Changed returns a channel that is closed at the next change of the results of
// Hosts, Members, Draining or Watcher. Call it before them, so that no change in
// between is missed.
func (monitor *Monitor) Changed() <-chan struct{} {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if monitor.changed == nil {
		monitor.changed = make(chan struct{})
	}
	return monitor.changed
}

// ReportFailure reports that a request or connection to a host failed.
func (monitor *Monitor) ReportFailure(host string) {
	monitor.change(func(table *Table, now time.Time) { table.ReportFailure(now, host) })
}

// HandleDigest merges a digest from the host called from, and returns the digest to
// answer with.
func (monitor *Monitor) HandleDigest(from string, digest Digest) Digest {
	var answer Digest
	monitor.change(func(table *Table, now time.Time) {
		digest.sender = from
		table.Merge(now, digest)
		answer = table.Digest(from)
		table.Acknowledge(from)
	})
	return answer
}

// Probe exchanges digests with host and returns nil if host answers. Peers that do
// not reach host request it.
func (monitor *Monitor) Probe(ctx context.Context, host string) error {
	answer, err := monitor.exchanger.Exchange(ctx, host, monitor.digest(host))
	if err != nil {
		return err
	}
	monitor.change(func(table *Table, now time.Time) {
		table.Merge(now, answer)
		table.Acknowledge(host)
	})
	return nil
}

// Leave announces to the peers that this host is leaving. It returns once the
// peers that forward the update have received it, or ctx is done. Run must be
// running.
func (monitor *Monitor) Leave(ctx context.Context) error {
	var peers []string
	monitor.change(func(table *Table, _ time.Time) {
		table.Leave()
		peers = table.fingers()
		for _, region := range table.relays() {
			if name, ok := table.counterpart(region, 0); ok {
				peers = append(peers, name)
			}
		}
	})
	acknowledged := 0
	for _, peer := range peers {
		within, cancel := context.WithTimeout(ctx, probeTimeout)
		if monitor.Probe(within, peer) == nil {
			acknowledged++
		}
		cancel()
	}
	if acknowledged == 0 && len(peers) > 0 {
		return &LeaveError{peers: len(peers), cause: ctx.Err()}
	}
	return nil
}

// LeaveError reports that no peer received the announcement that this host is
// leaving.
type LeaveError struct {
	peers int
	cause error
}

// Unwrap returns the error of the context, or nil.
func (leaveError *LeaveError) Unwrap() error { return leaveError.cause }

// Error names the remedy.
func (leaveError *LeaveError) Error() string {
	return "no peer received the announcement that this host is leaving; keep serving until the callers' cached answers expire"
}
