package runner

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/locator"
	"github.com/chivespool/chivespool/internal/recorder"
)

// updater hands each new configuration and membership to those that use it.
type updater struct {
	daemon *Daemon
}

// Run updates until ctx is done.
func (updater *updater) Run(ctx context.Context) error {
	for {
		configured := updater.daemon.follower.Changed()
		moved := updater.daemon.monitor.Changed()
		updater.update()
		select {
		case <-ctx.Done():
			return nil
		case <-configured:
		case <-moved:
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

// usher makes a planned stop graceful: it says that the host leaves, and holds
// the stop until no caller keeps an answer that names the host.
type usher struct {
	daemon *Daemon
}

// Run waits for the stop and then for the callers.
func (usher *usher) Run(ctx context.Context) error {
	<-ctx.Done()
	daemon := usher.daemon
	klog.InfoS("leaves", "host", daemon.self.Name(), "hold", daemon.settings.HoldTime())
	daemon.recorder.Record(recorder.KindProcess, daemon.self.Name(), "leaves")
	daemon.leaving.Store(true)
	hold, cancel := context.WithTimeout(context.Background(), daemon.settings.HoldTime())
	defer cancel()
	if err := daemon.monitor.Leave(hold); err != nil {
		klog.ErrorS(err, "peers may go on naming this host for a while")
	}
	<-hold.Done()
	return nil
}

// mostAddresses bounds the entry hosts that a caller is told of.
const mostAddresses = 8

// placer tells callers where to go.
type placer struct {
	daemon *Daemon
}

// Locate returns the entry hosts for service, nearest first.
func (placer *placer) Locate(service string, place definer.Place, seed string) (locator.Answer, bool) {
	daemon := placer.daemon
	answer, ok := locator.Locate(daemon.follower.Current(), daemon.monitor.Hosts(), service, place, seed)
	return answer.WithHold(daemon.settings.HoldTime()).WithMaxAddresses(mostAddresses), ok
}

// settlements holds the stop of the claimer until all outcomes are recorded.
type settlements struct {
	daemon *Daemon
}

// Run waits for the stop and then for the outcomes.
func (settlements *settlements) Run(ctx context.Context) error {
	<-ctx.Done()
	return settlements.daemon.dispatcher.Close()
}
