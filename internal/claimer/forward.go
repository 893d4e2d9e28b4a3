package claimer

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/registrar"
)

// submit gets a ruling on request from the owner of its shard or, where the
// owner gives none, from this host's own shard. Both may write the request:
// its id makes that harmless.
func (claimer *Claimer) submit(ctx context.Context, request registrar.Request) (registrar.Ruling, error) {
	shard := claimer.shardOf(request.Key())
	owner, remote := claimer.owner(shard.name)
	if remote {
		ruling, err := claimer.forward(ctx, owner, request)
		if err == nil || ctx.Err() != nil {
			return ruling, err
		}
		klog.V(1).InfoS("claim not forwarded; writing it here", "owner", owner, "shard", shard.name, "err", err)
	}
	return shard.submit(ctx, request)
}

// forward asks owner for a ruling. After an error it is not known whether the
// owner wrote the request.
func (claimer *Claimer) forward(ctx context.Context, owner string, request registrar.Request) (registrar.Ruling, error) {
	ctx, cancel := context.WithTimeout(ctx, claimer.limits.timeout/2)
	defer cancel()
	call, err := encoder.EncodeClaimCall(request)
	if err != nil {
		return registrar.Ruling{}, err
	}
	reply, err := claimer.forwarder.Forward(ctx, owner, call)
	if err != nil {
		return registrar.Ruling{}, err
	}
	return encoder.DecodeClaimReply(reply)
}

// Serve replies to a request that another host forwarded to this one. It never
// forwards, so that hosts that disagree on the owner make no loop.
func (claimer *Claimer) Serve(ctx context.Context, request []byte) []byte {
	call, err := encoder.DecodeClaimCall(request)
	if err != nil {
		klog.ErrorS(err, "forwarded claim refused")
		return failure()
	}
	ruling, err := claimer.shardOf(call.Key()).submit(ctx, call)
	if err != nil {
		return failure()
	}
	reply, err := encoder.EncodeClaimReply(ruling)
	if err != nil {
		return failure()
	}
	return reply
}

// failure returns the reply that sends the other host to its own shard; so do
// the empty bytes of a failed encoding.
func failure() []byte {
	reply, err := encoder.EncodeClaimFailure()
	if err != nil {
		klog.ErrorS(err, "claim reply not encoded")
	}
	return reply
}

// owner returns the host with the highest rendezvous weight for a shard, and
// whether it is another one that can be asked.
func (claimer *Claimer) owner(shard string) (string, bool) {
	if claimer.hosts == nil || claimer.forwarder == nil {
		return "", false
	}
	hosts := claimer.hosts.Live()
	if len(hosts) == 0 {
		return "", false
	}
	weight := func(host string) uint64 { return xxhash.Sum64String(host + "\x00" + shard) }
	owner := slices.MaxFunc(hosts, func(left, right string) int {
		if weight(left) < weight(right) {
			return -1
		}
		return 1
	})
	return owner, owner != claimer.hosts.Self()
}
