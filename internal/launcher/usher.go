package launcher

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// The bound on a planned stop is divided: callers move to other hosts in the
// first half, and the remaining requests end in the second.
const (
	// acceptShare is the part of the bound for which new requests are accepted.
	// Callers cache the list of hosts for up to three times its hold time.
	acceptShare = 0.48
	// endShare is the part of the bound within which the last request has ended;
	// the rest is for the process itself to exit.
	endShare = 0.94
)

// leaveTime returns a share of the bound on a planned stop.
func (gateway *Gateway) leaveTime(share float64) time.Duration {
	return time.Duration(share * float64(gateway.settings.LeaveBound()))
}

// drainTime bounds the requests that still run when new ones are no longer
// accepted.
func (gateway *Gateway) drainTime() time.Duration { return gateway.leaveTime(endShare - acceptShare) }

// drainer makes a planned stop graceful: it removes the host from the list that
// callers receive, and delays the stop until they have moved to other hosts.
type drainer struct {
	gateway *Gateway
}

// Run waits for the stop to begin, deregisters the host, and returns once callers
// have had the time to move.
func (drainer *drainer) Run(ctx context.Context) error {
	<-ctx.Done()
	gateway := drainer.gateway
	hold := time.NewTimer(gateway.leaveTime(acceptShare))
	defer hold.Stop()
	klog.InfoS("leaves", "host", gateway.self.Name(), "hold", gateway.leaveTime(acceptShare))
	gateway.leaving.Store(true)
	gateway.enroller.Leave()
	<-hold.C
	return nil
}
