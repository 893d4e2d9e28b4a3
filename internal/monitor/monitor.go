// Package monitor judges which entry hosts are live, suspect, leaving or gone,
// and which endpoints leave, from the platform's lagging host list, from what
// peers tell each other, and from requests that fail.
//
// [Table] decides; it takes time and messages as plain values. [Monitor] is the
// task round it that carries out its probes. The way of working is that of SWIM
// (Das, Gupta and Motivala, 2002): each host probes few others, asks helpers
// before it suspects, and news rides on the probes. Nothing that must always
// hold rests on what this package says.
package monitor

import (
	"context"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/recorder"
)

// Exchanger carries digests between hosts.
type Exchanger interface {
	// Exchange tells digest to host and returns what host tells.
	Exchange(ctx context.Context, host string, digest Digest) (Digest, error)
	// Reach has the host called via try host, and returns nil if it answers.
	Reach(ctx context.Context, via, host string) error
	// SetPeers tells which hosts may be called.
	SetPeers(hosts []definer.Host)
}

// Recorder is the time line.
type Recorder interface {
	Record(kind recorder.Kind, object, text string)
}

// Monitor keeps a [Table] up to date. It is a task of the supervisor tree. The
// zero value is ready for its Set methods, which come before Run.
type Monitor struct {
	exchanger Exchanger
	recorder  Recorder
	list      HostList
	// telling is held while links are told of members, so that the last to be
	// told is the newest.
	telling sync.Mutex
	// mu guards the fields below.
	mu    sync.Mutex
	table Table
	// seen is the version of the table that users were told of last; changed is
	// closed at the next change.
	seen    uint64
	changed chan struct{}
	// wake has an item when the table has something to do before it said.
	wake chan struct{}
	// wait counts the tasks that Run started.
	wait sync.WaitGroup
}

// SetSelf tells the monitor which host it runs on.
func (monitor *Monitor) SetSelf(host definer.Host) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	monitor.table.SetSelf(host)
}

// SetSeeds makes hosts known for a start without a host list.
func (monitor *Monitor) SetSeeds(hosts []definer.Host) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	monitor.table.Seed(time.Now(), hosts)
}

// SetExchanger sets how digests reach other hosts.
func (monitor *Monitor) SetExchanger(exchanger Exchanger) { monitor.exchanger = exchanger }

// SetRecorder sets the time line.
func (monitor *Monitor) SetRecorder(recorder Recorder) { monitor.recorder = recorder }

// SetHostList sets the platform's host list.
func (monitor *Monitor) SetHostList(list HostList) { monitor.list = list }

// Run probes other hosts and reads the host list until ctx is done.
func (monitor *Monitor) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer monitor.wait.Wait()
	defer cancel()
	if monitor.list != nil {
		poller := &poller{monitor: monitor, list: monitor.list}
		monitor.wait.Add(1)
		go poller.run(ctx)
	}
	wake := monitor.wakeChannel()
	for ctx.Err() == nil {
		pause(ctx, wake, monitor.tick(ctx))
	}
	return nil
}

// tick starts the probes that are due and returns when the next ones are.
func (monitor *Monitor) tick(ctx context.Context) time.Time {
	monitor.mu.Lock()
	probes := monitor.table.Tick(time.Now())
	next := monitor.table.Next()
	changed := monitor.settle()
	monitor.mu.Unlock()
	monitor.tell(changed)
	for _, probe := range probes {
		monitor.start(ctx, probe)
	}
	return next
}

// pause waits until next, or until something else is to be done.
func pause(ctx context.Context, wake <-chan struct{}, next time.Time) {
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// start carries out one probe.
func (monitor *Monitor) start(ctx context.Context, probe Probe) {
	monitor.wait.Add(1)
	prober := &prober{monitor: monitor, probe: probe}
	go prober.run(ctx)
}

// change applies a change to the table, and tells those who wait for one.
func (monitor *Monitor) change(apply func(table *Table, now time.Time)) {
	monitor.mu.Lock()
	apply(&monitor.table, time.Now())
	changed := monitor.settle()
	monitor.mu.Unlock()
	monitor.tell(changed)
	select {
	case monitor.wakeChannel() <- struct{}{}:
	default:
	}
}

// wakeChannel returns wake, which it makes if need be.
func (monitor *Monitor) wakeChannel() chan struct{} {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if monitor.wake == nil {
		monitor.wake = make(chan struct{}, 1)
	}
	return monitor.wake
}

// outcome is what a change of the table means for others.
type outcome struct {
	events []Event
	// visible is true where users see a change; changed is nil where none waits.
	visible bool
	changed chan struct{}
}

// settle returns what tell has to do. The caller holds mu.
func (monitor *Monitor) settle() outcome {
	outcome := outcome{events: monitor.table.Events()}
	if version := monitor.table.Version(); version != monitor.seen {
		monitor.seen = version
		outcome.visible = true
		outcome.changed = monitor.changed
		monitor.changed = nil
	}
	return outcome
}

// tell hands a change on to the time line, to the links and to the users.
func (monitor *Monitor) tell(outcome outcome) {
	for _, event := range outcome.events {
		if monitor.recorder != nil {
			monitor.recorder.Record(recorder.KindMembership, event.Object(), event.Text())
		}
	}
	if outcome.visible && monitor.exchanger != nil {
		monitor.telling.Lock()
		monitor.exchanger.SetPeers(monitor.Members())
		monitor.telling.Unlock()
	}
	if outcome.changed != nil {
		close(outcome.changed)
	}
}
