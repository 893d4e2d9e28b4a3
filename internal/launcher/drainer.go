package launcher

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

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
	gateway.stopper.Begin(gateway.clock.Now())
	hold := time.NewTimer(gateway.stopper.AcceptTime())
	defer hold.Stop()
	klog.InfoS("leaves", "host", gateway.self.Name(), "hold", gateway.stopper.AcceptTime())
	gateway.enroller.Leave()
	<-hold.C
	klog.InfoS("ends accepting requests", "host", gateway.self.Name())
	return nil
}
