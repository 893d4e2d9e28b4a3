// Package monitor determines which entry hosts are live, suspect, leaving or
// gone, and which endpoints are leaving. Package runner runs it.
//
// Its sources are the platform's lagging host list, gossip between peers, and
// failed requests. Routing uses the results; they are hints, and no invariant
// depends on them.
//
// [Table] decides; it does no I/O and receives time and messages as arguments.
// [Monitor] is the task that runs a Table and starts a goroutine for each of its
// probes. The protocol is that of SWIM (Das, Gupta and Motivala, 2002): each host
// probes a few others, probes through helpers before it suspects a host, and
// piggybacks updates on the probes.
package monitor

import (
	"context"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/recorder"
)

// Exchanger exchanges digests with other hosts.
type Exchanger interface {
	// Exchange sends digest to host and returns the digest in its answer.
	Exchange(ctx context.Context, host string, digest Digest) (Digest, error)
	// ProbeVia asks the host called via to probe host, and returns nil if host
	// answers.
	ProbeVia(ctx context.Context, via, host string) error
	// SetPeers sets the hosts that connections may be opened to.
	SetPeers(hosts []definer.Host)
}

// Recorder is the timeline.
type Recorder interface {
	Record(kind recorder.Kind, object, text string)
}

// Monitor keeps a [Table] up to date. It is a task of the supervisor tree. The
// zero value is ready for its Set methods, which must be called before Run.
type Monitor struct {
	exchanger Exchanger
	recorder  Recorder
	list      HostList
	// peersMu serializes calls of SetPeers, so that the last call passes the
	// newest members.
	peersMu sync.Mutex
	// mu guards the fields below.
	mu    sync.Mutex
	table Table
	// notified is the version of the table at the last notification of the
	// users; changed is closed at the next change.
	notified uint64
	changed  chan struct{}
	// wake holds an item if the table may have work before the time that Next
	// returned.
	wake chan struct{}
	// tasks counts the goroutines that Run started.
	tasks sync.WaitGroup
}

// SetSelf sets the host that the monitor runs on.
func (monitor *Monitor) SetSelf(host definer.Host) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	monitor.table.SetSelf(host)
}

// SetSeeds adds hosts from the settings, which are the first peers while the host
// list is unavailable.
func (monitor *Monitor) SetSeeds(hosts []definer.Host) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	monitor.table.Seed(time.Now(), hosts)
}

// SetExchanger sets the transport of digests.
func (monitor *Monitor) SetExchanger(exchanger Exchanger) { monitor.exchanger = exchanger }

// SetRecorder sets the timeline.
func (monitor *Monitor) SetRecorder(recorder Recorder) { monitor.recorder = recorder }

// SetHostList sets the platform's host list.
func (monitor *Monitor) SetHostList(list HostList) { monitor.list = list }

// Run probes other hosts and reads the host list until ctx is done.
func (monitor *Monitor) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer monitor.tasks.Wait()
	defer cancel()
	if monitor.list != nil {
		poller := &poller{monitor: monitor, list: monitor.list}
		monitor.tasks.Add(1)
		go poller.run(ctx)
	}
	wake := monitor.wakeChannel()
	for ctx.Err() == nil {
		waitUntil(ctx, wake, monitor.tick(ctx))
	}
	return nil
}

// tick starts the probes that are due and returns the time of the next ones.
func (monitor *Monitor) tick(ctx context.Context) time.Time {
	monitor.mu.Lock()
	probes := monitor.table.Tick(time.Now())
	next := monitor.table.Next()
	effects := monitor.collectEffects()
	monitor.mu.Unlock()
	monitor.notify(effects)
	for _, probe := range probes {
		monitor.start(ctx, probe)
	}
	return next
}

// waitUntil waits until next, or until wake receives an item or ctx is done.
func waitUntil(ctx context.Context, wake <-chan struct{}, next time.Time) {
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// start starts the goroutine of one probe.
func (monitor *Monitor) start(ctx context.Context, probe Probe) {
	monitor.tasks.Add(1)
	prober := &prober{monitor: monitor, probe: probe}
	go prober.run(ctx)
}

// change applies a change to the table and notifies the users of it.
func (monitor *Monitor) change(apply func(table *Table, now time.Time)) {
	monitor.mu.Lock()
	apply(&monitor.table, time.Now())
	effects := monitor.collectEffects()
	monitor.mu.Unlock()
	monitor.notify(effects)
	select {
	case monitor.wakeChannel() <- struct{}{}:
	default:
	}
}

// wakeChannel returns wake, which it creates on first use.
func (monitor *Monitor) wakeChannel() chan struct{} {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if monitor.wake == nil {
		monitor.wake = make(chan struct{}, 1)
	}
	return monitor.wake
}

// effects are the notifications that follow from a change of the table.
type effects struct {
	events []Event
	// visible is true where users see a change; changed is nil where no user
	// waits.
	visible bool
	changed chan struct{}
}

// collectEffects returns the effects of the changes since the last call. The
// caller holds mu.
func (monitor *Monitor) collectEffects() effects {
	effects := effects{events: monitor.table.Events()}
	if version := monitor.table.Version(); version != monitor.notified {
		monitor.notified = version
		effects.visible = true
		effects.changed = monitor.changed
		monitor.changed = nil
	}
	return effects
}

// notify forwards a change to the timeline, to the exchanger and to the users.
func (monitor *Monitor) notify(effects effects) {
	for _, event := range effects.events {
		if monitor.recorder != nil {
			monitor.recorder.Record(recorder.KindMembership, event.Object(), event.Text())
		}
	}
	if effects.visible && monitor.exchanger != nil {
		monitor.peersMu.Lock()
		monitor.exchanger.SetPeers(monitor.Members())
		monitor.peersMu.Unlock()
	}
	if effects.changed != nil {
		close(effects.changed)
	}
}
