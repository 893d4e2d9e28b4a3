package runner

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/locator"
	"github.com/chivespool/chivespool/internal/recorder"
)

// updater applies each new configuration and membership to the components that
// use them.
type updater struct {
	daemon *Daemon
}

// Run applies changes until ctx is done.
func (updater *updater) Run(ctx context.Context) error {
	for {
		configurationChanged := updater.daemon.follower.Changed()
		membershipChanged := updater.daemon.monitor.Changed()
		updater.update()
		select {
		case <-ctx.Done():
			return nil
		case <-configurationChanged:
		case <-membershipChanged:
		}
	}
}

func (updater *updater) update() {
	daemon := updater.daemon
	daemon.router.Update(daemon.follower.Current(), daemon.self, daemon.monitor.Hosts())
	daemon.router.SetDraining(daemon.monitor.Draining())
	daemon.follower.SetWatcher(daemon.isWatcher())
}

// isWatcher reports whether this host watches the store for its data centre.
func (daemon *Daemon) isWatcher() bool {
	watcher, ok := daemon.monitor.Watcher(daemon.self.Place())
	return !ok || watcher.Name() == daemon.self.Name()
}

// drainer delays a planned stop: it announces that the host is leaving and waits
// until every location answer that names the host has expired.
type drainer struct {
	daemon *Daemon
}

// Run waits until ctx is done, announces the leave, and waits for the hold time.
func (drainer *drainer) Run(ctx context.Context) error {
	<-ctx.Done()
	daemon := drainer.daemon
	klog.InfoS("leaves", "host", daemon.self.Name(), "hold", daemon.settings.HoldTime())
	daemon.recorder.Record(recorder.KindProcess, daemon.self.Name(), "leaves")
	daemon.leaving.Store(true)
	holdContext, cancel := context.WithTimeout(context.Background(), daemon.settings.HoldTime())
	defer cancel()
	if err := daemon.monitor.Leave(holdContext); err != nil {
		klog.ErrorS(err, "could not announce the leave; peers may still send callers to this host")
	}
	<-holdContext.Done()
	return nil
}

// maxAddresses bounds the entry hosts in a location answer.
const maxAddresses = 8

// entryLocator answers callers that ask which entry hosts to use.
type entryLocator struct {
	daemon *Daemon
}

// Locate returns the entry hosts for service, nearest first.
func (entryLocator *entryLocator) Locate(service string, place definer.Place, seed string) (locator.Answer, bool) {
	daemon := entryLocator.daemon
	answer, ok := locator.Locate(daemon.follower.Current(), daemon.monitor.Hosts(), service, place, seed)
	return answer.WithCacheTime(daemon.settings.HoldTime()).WithMaxAddresses(maxAddresses), ok
}

// outcomeWaiter delays the stop of the claimer until all outcomes are recorded.
type outcomeWaiter struct {
	daemon *Daemon
}

// Run waits until ctx is done, then until all outcomes are recorded.
func (outcomeWaiter *outcomeWaiter) Run(ctx context.Context) error {
	<-ctx.Done()
	return outcomeWaiter.daemon.dispatcher.Close()
}
