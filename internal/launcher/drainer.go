package launcher

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// The time for a planned stop is divided: callers move to other hosts in the first
// part, at most about half of it, and the remaining requests end in the second.
const (
	// acceptShare is the share in which new requests are still accepted, since
	// callers cache the list of hosts for up to three times its hold time, but no
	// longer than maxAcceptTime: of requests that are sent later than 3 s after the
	// stop, none may be cut off.
	acceptShare   = 0.48
	maxAcceptTime = 2900 * time.Millisecond
	// endShare is the share by whose end the last request has ended; the rest is
	// for the process to exit.
	endShare = 0.94
)

// leaveTime returns a share of the time for a planned stop.
func (gateway *Gateway) leaveTime(share float64) time.Duration {
	return time.Duration(share * float64(gateway.settings.LeaveTimeout()))
}

// acceptTime returns the time for which new requests are still accepted.
func (gateway *Gateway) acceptTime() time.Duration {
	return min(gateway.leaveTime(acceptShare), maxAcceptTime)
}

// drainTime returns the time for running requests to end once new ones are no
// longer accepted.
func (gateway *Gateway) drainTime() time.Duration {
	return gateway.leaveTime(endShare) - gateway.acceptTime()
}

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
	hold := time.NewTimer(gateway.acceptTime())
	defer hold.Stop()
	klog.InfoS("leaves", "host", gateway.self.Name(), "hold", gateway.acceptTime())
	gateway.leaving.Store(true)
	gateway.enroller.Leave()
	<-hold.C
	klog.InfoS("ends accepting requests", "host", gateway.self.Name(), "drain", gateway.drainTime())
	return nil
}
