package runner

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
)

// pushTimeout bounds one offer of a configuration to a peer.
const pushTimeout = 3 * time.Second

// pusher hands a new configuration on: the data centre's watcher tells the
// others there, and a host that learned it first tells its watcher. What is
// lost on the way is asked for by the follower.
type pusher struct {
	daemon *Daemon
	// pushed is the revision that the peers were last told of.
	pushed uint64
}

// Run hands on until ctx is done.
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
		ctx, cancel := context.WithTimeout(ctx, pushTimeout)
		_, err := pusher.daemon.messenger.Call(ctx, host.Name(), request)
		cancel()
		if err != nil {
			klog.V(1).InfoS("a configuration was not handed on", "peer", host.Name(), "cause", err)
		}
	}
}

// targets returns the live hosts of the data centre for its watcher, and the
// watcher for any other.
func (pusher *pusher) targets() []definer.Host {
	daemon := pusher.daemon
	watches := daemon.isWatcher()
	watcher, _ := daemon.monitor.Watcher(daemon.self.Place())
	var targets []definer.Host
	for _, host := range daemon.monitor.Hosts() {
		near := host.Place() == daemon.self.Place() && host.State() == definer.Live
		if host.Name() == daemon.self.Name() || !near {
			continue
		}
		if watches || host.Name() == watcher.Name() {
			targets = append(targets, host)
		}
	}
	return targets
}
