package monitor

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/recorder"
)

// Intervals between reads of the host list: by the watcher of a data centre,
// which forwards changes by gossip, and by any other host.
const (
	watcherInterval = time.Second
	otherInterval   = 30 * time.Second
	listTimeout     = 2 * time.Second
)

// HostList is the platform's lagging list of hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]definer.Host, error)
	Backends(ctx context.Context) ([]connector.Backend, error)
}

// poller reads the host list.
type poller struct {
	monitor *Monitor
	list    HostList
	// failed is true while the list cannot be read; loaded is true after the
	// first successful read.
	failed bool
	loaded bool
}

// run reads the list until ctx is done: at once, and then at the interval of
// this host's role.
func (poller *poller) run(ctx context.Context) {
	defer poller.monitor.tasks.Done()
	var last time.Time
	for ctx.Err() == nil {
		if now := time.Now(); now.Sub(last) >= poller.interval() {
			last = now
			poller.recordStatus(ctx, poller.read(ctx))
		}
		timer := time.NewTimer(watcherInterval*3/4 + rand.N(watcherInterval/2))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// interval returns the time between two reads.
func (poller *poller) interval() time.Duration {
	monitor := poller.monitor
	monitor.mu.Lock()
	self := monitor.table.Self()
	watcher, ok := monitor.table.Watcher(self.Place())
	monitor.mu.Unlock()
	if !poller.loaded || (ok && watcher.Name() == self.Name()) {
		return watcherInterval / 2
	}
	return otherInterval
}

// read reads the list once.
func (poller *poller) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	hosts, err := poller.list.Hosts(ctx)
	if err != nil {
		return err
	}
	backends, err := poller.list.Backends(ctx)
	if err != nil {
		return err
	}
	leaving := make(map[string]bool, len(backends))
	for _, backend := range backends {
		leaving[backend.Name()] = backend.State() != definer.Live
	}
	poller.loaded = true
	poller.monitor.change(func(table *Table, now time.Time) {
		table.MergeHostList(now, hosts)
		table.MergeEndpointList(now, leaving)
	})
	return nil
}

// recordStatus records the start and the end of a failure on the timeline.
func (poller *poller) recordStatus(ctx context.Context, err error) {
	failed := err != nil
	if failed == poller.failed || ctx.Err() != nil {
		return
	}
	poller.failed = failed
	if poller.monitor.recorder == nil {
		return
	}
	text := "is read again"
	if failed {
		text = "can't be read; members are told by peers meanwhile: " + err.Error()
	}
	poller.monitor.recorder.Record(recorder.KindMembership, "host-list", text)
}
