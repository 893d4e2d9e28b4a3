package launcher

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// The time for a planned stop is divided: callers move to other hosts in about
// the first half, and the remaining requests end in the second.
const (
	// acceptShare is the share in which new requests are still accepted, since
	// callers cache the list of hosts for up to three times its hold time.
	acceptShare = 0.48
	// endShare is the share by whose end the last request has ended; the rest is
	// for the process to exit.
	endShare = 0.94
)

// leaveTime returns a share of the time for a planned stop.
func (gateway *Gateway) leaveTime(share float64) time.Duration {
	return time.Duration(share * float64(gateway.settings.LeaveTimeout()))
}

// drainTime returns the time for running requests to end once new ones are no
// longer accepted.
func (gateway *Gateway) drainTime() time.Duration { return gateway.leaveTime(endShare - acceptShare) }

// drainer removes the host from the list that callers receive on a planned stop,
// and delays the stop until they have moved to other hosts.
type drainer struct {
	gateway *Gateway
}

// Run waits until ctx is done, deregisters the host, and returns once callers
// have had time to move.
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
