package claimer

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/registrar"
)

// submit returns the decision on request from the owner of its shard or, if
// forwarding fails, from this host's own shard. It is harmless if both write the
// request, since the claim's id identifies it.
func (claimer *Claimer) submit(ctx context.Context, request registrar.Request) (registrar.Decision, error) {
	shard := claimer.shardOf(request.Key())
	owner, remote := claimer.owner(shard.name)
	if remote {
		decision, err := claimer.forward(ctx, owner, request)
		if err == nil || ctx.Err() != nil {
			return decision, err
		}
		klog.V(1).InfoS("forwarding a claim failed; writing it locally", "owner", owner, "shard", shard.name, "err", err)
	}
	return shard.submit(ctx, request)
}

// forward forwards request to owner and returns the decision on it. After an error it is
// unknown whether the owner wrote the request.
func (claimer *Claimer) forward(ctx context.Context, owner string, request registrar.Request) (registrar.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, claimer.limits.timeout/2)
	defer cancel()
	call, err := encoder.EncodeClaimCall(request)
	if err != nil {
		return registrar.Decision{}, err
	}
	reply, err := claimer.forwarder.Forward(ctx, owner, call)
	if err != nil {
		return registrar.Decision{}, err
	}
	return encoder.DecodeClaimReply(reply)
}

// Serve replies to a request that another host forwarded to this one. It never
// forwards, so that hosts with different views of the owner cause no loop.
func (claimer *Claimer) Serve(ctx context.Context, request []byte) []byte {
	call, err := encoder.DecodeClaimCall(request)
	if err != nil {
		klog.ErrorS(err, "decoding a forwarded claim failed")
		return failureReply()
	}
	decision, err := claimer.shardOf(call.Key()).submit(ctx, call)
	if err != nil {
		return failureReply()
	}
	reply, err := encoder.EncodeClaimReply(decision)
	if err != nil {
		return failureReply()
	}
	return reply
}

// failureReply returns the reply that makes the forwarding host use its own shard.
// If the encoding fails the reply is empty, which has the same effect.
func failureReply() []byte {
	reply, err := encoder.EncodeClaimFailure()
	if err != nil {
		klog.ErrorS(err, "encoding a claim reply failed")
	}
	return reply
}

// owner returns the host with the highest rendezvous weight for a shard, and
// reports whether it is another host, to which requests can be forwarded.
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
