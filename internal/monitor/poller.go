package monitor

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/recorder"
)

// How often the host list is read: by the watcher of a data centre, which tells
// the others, and by any other host.
const (
	watcherPause = time.Second
	otherPause   = 30 * time.Second
	listTimeout  = 2 * time.Second
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
	// failed is true while the list can't be read; known once it was read.
	failed bool
	known  bool
}

// run reads the list until ctx is done: at once, and then as often as this
// host's part asks for.
func (poller *poller) run(ctx context.Context) {
	defer poller.monitor.wait.Done()
	var last time.Time
	for ctx.Err() == nil {
		if now := time.Now(); now.Sub(last) >= poller.pause() {
			last = now
			poller.note(ctx, poller.read(ctx))
		}
		timer := time.NewTimer(watcherPause*3/4 + rand.N(watcherPause/2))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// pause returns how long to wait between two readings.
func (poller *poller) pause() time.Duration {
	monitor := poller.monitor
	monitor.mu.Lock()
	self := monitor.table.Self()
	watcher, ok := monitor.table.Watcher(self.Place())
	monitor.mu.Unlock()
	if !poller.known || (ok && watcher.Name() == self.Name()) {
		return watcherPause / 2
	}
	return otherPause
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
	poller.known = true
	poller.monitor.change(func(table *Table, now time.Time) {
		table.List(now, hosts)
		table.ListEndpoints(now, leaving)
	})
	return nil
}

// note puts the start and the end of a failure on the time line.
func (poller *poller) note(ctx context.Context, err error) {
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
