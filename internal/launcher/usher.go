package launcher

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// How the bound on a planned stop is spent: callers move on in its first half,
// and requests that came until then end in the second.
const (
	// moveShare is the part of the bound for which new requests are still taken.
	// Callers keep an answer for up to three times its hold time.
	moveShare = 0.48
	// endShare is the part of the bound within which the last request has ended;
	// the rest is for the end of the process itself.
	endShare = 0.94
)

func (gateway *Gateway) share(share float64) time.Duration {
	return time.Duration(share * float64(gateway.settings.LeaveBound()))
}

// endTime bounds the requests that run when no new ones are taken any more.
func (gateway *Gateway) endTime() time.Duration { return gateway.share(endShare - moveShare) }

// usher makes a planned stop graceful: it takes the host off the list that
// callers are told of, and holds the stop until they have moved on.
type usher struct {
	gateway *Gateway
}

// Run waits for the stop and then for the callers.
func (usher *usher) Run(ctx context.Context) error {
	<-ctx.Done()
	gateway := usher.gateway
	hold := time.NewTimer(gateway.share(moveShare))
	defer hold.Stop()
	klog.InfoS("leaves", "host", gateway.self.Name(), "hold", gateway.share(moveShare))
	gateway.leaving.Store(true)
	gateway.enroller.Leave()
	<-hold.C
	return nil
}
