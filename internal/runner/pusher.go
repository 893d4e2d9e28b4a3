package runner

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
)

// peerCallTimeout bounds one call of the pusher or the puller to a peer.
const peerCallTimeout = 3 * time.Second

// pusher offers each new configuration to peers: the data centre's watcher
// offers it to the other hosts there, and any other host to the watcher. The
// follower fetches a configuration whose offer was lost.
type pusher struct {
	daemon *Daemon
	// pushed is the revision that was last offered to the peers.
	pushed uint64
}

// Run offers each new configuration until ctx is done.
func (pusher *pusher) Run(ctx context.Context) error {
	for {
		changed := pusher.daemon.follower.Changed()
		pusher.push(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (pusher *pusher) push(ctx context.Context) {
	follower := pusher.daemon.follower
	revision := follower.Current().Revision()
	if revision == pusher.pushed {
		return
	}
	offer := &encoder.ConfigurationOffer{Revision: revision}
	if pusher.pushed > 0 {
		offer.Update = follower.UpdateSince(pusher.pushed)
	}
	pusher.pushed = revision
	request := &encoder.Request{Body: &encoder.Request_ConfigurationOffer{ConfigurationOffer: offer}}
	for _, host := range pusher.targets() {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		_, err := pusher.daemon.messenger.Call(ctx, host.Name(), request)
		cancel()
		if err != nil {
			klog.V(1).InfoS("configuration offer to a peer failed", "peer", host.Name(), "cause", err)
		}
	}
}

// targets returns the other live hosts of the data centre if this host is its
// watcher, else only the watcher.
func (pusher *pusher) targets() []definer.Host {
	daemon := pusher.daemon
	isWatcher := daemon.isWatcher()
	watcher, _ := daemon.monitor.Watcher(daemon.self.Place())
	var targets []definer.Host
	for _, host := range daemon.monitor.Hosts() {
		local := host.Place() == daemon.self.Place() && host.State() == definer.Live
		if host.Name() == daemon.self.Name() || !local {
			continue
		}
		if isWatcher || host.Name() == watcher.Name() {
			targets = append(targets, host)
		}
	}
	return targets
}
