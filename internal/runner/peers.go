package runner

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/lender"
	"github.com/chivespool/chivespool/internal/messenger"
)

// peerHandler serves the requests of other entry hosts.
type peerHandler struct {
	daemon *Daemon
}

// Handle dispatches a request to the component that serves its kind.
func (peerHandler *peerHandler) Handle(ctx context.Context, from string, request *encoder.Request) (*encoder.Reply, error) {
	daemon := peerHandler.daemon
	switch body := request.GetBody().(type) {
	case *encoder.Request_Borrow:
		return lender.ServeBorrow(ctx, daemon.router, from, body.Borrow)
	case *encoder.Request_GiveBack:
		return lender.ServeReturnLoan(daemon.router, from, body.GiveBack), nil
	case *encoder.Request_ConfigurationFetch:
		return peerHandler.handleFetch(body.ConfigurationFetch), nil
	case *encoder.Request_ConfigurationOffer:
		return peerHandler.handleOffer(body.ConfigurationOffer), nil
	case *encoder.Request_ClaimForward:
		outcome := daemon.claimer.Serve(ctx, body.ClaimForward.GetClaim())
		reply := &encoder.ClaimForwardReply{Outcome: outcome}
		return &encoder.Reply{Body: &encoder.Reply_ClaimForward{ClaimForward: reply}}, nil
	case *encoder.Request_SuspectAnnounce:
		return peerHandler.handleSuspects(body.SuspectAnnounce)
	}
	return nil, messenger.NewError(messenger.Refused, "unknown-request", errors.New("this release does not know the request"))
}

func (peerHandler *peerHandler) handleFetch(fetch *encoder.ConfigurationFetch) *encoder.Reply {
	follower := peerHandler.daemon.follower
	update := &encoder.ConfigurationNews{
		Revision: follower.Current().Revision(), Update: follower.UpdateSince(fetch.GetSinceRevision()),
	}
	return &encoder.Reply{Body: &encoder.Reply_ConfigurationUpdate{ConfigurationUpdate: update}}
}

func (peerHandler *peerHandler) handleOffer(offer *encoder.ConfigurationOffer) *encoder.Reply {
	follower := peerHandler.daemon.follower
	follower.ApplyOffer(offer.GetRevision(), offer.GetUpdate())
	ack := &encoder.ConfigurationAck{Revision: follower.Current().Revision()}
	return &encoder.Reply{Body: &encoder.Reply_ConfigurationAck{ConfigurationAck: ack}}
}

// fetcher fetches the configuration in force from a peer.
type fetcher struct {
	daemon *Daemon
}

var errNoPeer = errors.New("no live peer is known; check the peers' addresses in the host list")

// Fetch requests the update since a revision from a live peer: one in the same
// data centre if there is any, else in the same region, else anywhere.
func (fetcher *fetcher) Fetch(ctx context.Context, since uint64) ([]byte, error) {
	peer, ok := fetcher.daemon.nearestPeer()
	if !ok {
		return nil, errNoPeer
	}
	fetch := &encoder.ConfigurationFetch{SinceRevision: since}
	request := &encoder.Request{Body: &encoder.Request_ConfigurationFetch{ConfigurationFetch: fetch}}
	reply, err := fetcher.daemon.messenger.Call(ctx, peer.Name(), request)
	if err != nil {
		return nil, err
	}
	return reply.GetConfigurationUpdate().GetUpdate(), nil
}

// nearestPeer returns a random one of the nearest live peers.
func (daemon *Daemon) nearestPeer() (definer.Host, bool) {
	var nearest []definer.Host
	bestProximity := 0
	for _, host := range daemon.monitor.Hosts() {
		if host.Name() == daemon.self.Name() || host.State() != definer.Live {
			continue
		}
		proximity := 1
		switch {
		case host.Place() == daemon.self.Place():
			proximity = 3
		case host.Place().Region() == daemon.self.Place().Region():
			proximity = 2
		}
		if proximity > bestProximity {
			bestProximity = proximity
			nearest = nil
		}
		if proximity == bestProximity {
			nearest = append(nearest, host)
		}
	}
	if len(nearest) == 0 {
		return definer.Host{}, false
	}
	return nearest[rand.IntN(len(nearest))], true
}

// shardHosts lists the hosts that can own a shard of the claims.
type shardHosts struct {
	daemon *Daemon
}

// Self returns this host's name.
func (shardHosts *shardHosts) Self() string { return shardHosts.daemon.self.Name() }

// Live returns the names of the live hosts.
func (shardHosts *shardHosts) Live() []string {
	var names []string
	for _, host := range shardHosts.daemon.monitor.Hosts() {
		if host.State() == definer.Live {
			names = append(names, host.Name())
		}
	}
	return names
}

// forwarder forwards claims to the owner of their shard.
type forwarder struct {
	daemon *Daemon
}

// Forward sends claim to host and returns the outcome.
func (forwarder *forwarder) Forward(ctx context.Context, host string, claim []byte) ([]byte, error) {
	forward := &encoder.ClaimForward{Claim: claim}
	request := &encoder.Request{Body: &encoder.Request_ClaimForward{ClaimForward: forward}}
	reply, err := forwarder.daemon.messenger.Call(ctx, host, request)
	if err != nil {
		return nil, err
	}
	return reply.GetClaimForward().GetOutcome(), nil
}
