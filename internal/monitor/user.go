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

// Members returns all entry hosts that are known, gone ones too.
func (monitor *Monitor) Members() []definer.Host {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.table.Members()
}

// Draining returns the names of the endpoints that get no new work, since the
// host list calls them leaving.
func (monitor *Monitor) Draining() []string {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.table.Draining()
}

// Watcher returns the host that watches for the data centre at place.
func (monitor *Monitor) Watcher(place definer.Place) (definer.Host, bool) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.table.Watcher(place)
}

// Changed returns a channel that is closed at the next change of what Hosts,
// Members, Draining or Watcher return. Ask for it before you read them.
func (monitor *Monitor) Changed() <-chan struct{} {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if monitor.changed == nil {
		monitor.changed = make(chan struct{})
	}
	return monitor.changed
}

// Doubt tells that a request or a link failed on a host.
func (monitor *Monitor) Doubt(host string) {
	monitor.change(func(table *Table, now time.Time) { table.Doubt(now, host) })
}

// Answer takes in what the host called from tells, and returns what to tell it.
func (monitor *Monitor) Answer(from string, digest Digest) Digest {
	var answer Digest
	monitor.change(func(table *Table, now time.Time) {
		digest.sender = from
		table.Hear(now, digest)
		answer = table.Digest(from)
		table.Told(from)
	})
	return answer
}

// Reach tries host for a peer that does not reach it.
func (monitor *Monitor) Reach(ctx context.Context, host string) error {
	answer, err := monitor.exchanger.Exchange(ctx, host, monitor.digest(host))
	if err != nil {
		return err
	}
	monitor.change(func(table *Table, now time.Time) {
		table.Hear(now, answer)
		table.Told(host)
	})
	return nil
}

// Leave says to the peers that this host leaves, and returns once those were
// told that hand it on, or ctx is done. Run must be on.
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
	told := 0
	for _, peer := range peers {
		within, cancel := context.WithTimeout(ctx, probeTimeout)
		if monitor.Reach(within, peer) == nil {
			told++
		}
		cancel()
	}
	if told == 0 && len(peers) > 0 {
		return &LeaveError{peers: len(peers), cause: ctx.Err()}
	}
	return nil
}

// LeaveError says that no peer heard that this host leaves.
type LeaveError struct {
	peers int
	cause error
}

// Unwrap returns why the time was over, or nil.
func (leaveError *LeaveError) Unwrap() error { return leaveError.cause }

// Error names the remedy.
func (leaveError *LeaveError) Error() string {
	return "no peer could be told that this host leaves; callers come until their answers run out, so keep serving as long"
}
