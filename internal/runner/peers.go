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

// peerHandler answers the calls of other entry hosts.
type peerHandler struct {
	daemon *Daemon
}

// Handle gives each kind of request to the part that answers it.
func (peerHandler *peerHandler) Handle(ctx context.Context, from string, request *encoder.Request) (*encoder.Reply, error) {
	daemon := peerHandler.daemon
	switch body := request.GetBody().(type) {
	case *encoder.Request_Borrow:
		return lender.ServeBorrow(ctx, daemon.router, from, body.Borrow)
	case *encoder.Request_GiveBack:
		return lender.ServeGiveBack(daemon.router, from, body.GiveBack), nil
	case *encoder.Request_ConfigurationFetch:
		return peerHandler.fetched(body.ConfigurationFetch), nil
	case *encoder.Request_ConfigurationOffer:
		return peerHandler.offered(body.ConfigurationOffer), nil
	case *encoder.Request_ClaimForward:
		outcome := daemon.claimer.Serve(ctx, body.ClaimForward.GetClaim())
		reply := &encoder.ClaimForwardReply{Outcome: outcome}
		return &encoder.Reply{Body: &encoder.Reply_ClaimForward{ClaimForward: reply}}, nil
	case *encoder.Request_SuspectAnnounce:
		return peerHandler.announced(body.SuspectAnnounce)
	}
	return nil, messenger.NewError(messenger.Refused, "unknown-request", errors.New("this release does not know the request"))
}

func (peerHandler *peerHandler) fetched(fetch *encoder.ConfigurationFetch) *encoder.Reply {
	follower := peerHandler.daemon.follower
	news := &encoder.ConfigurationNews{
		Revision: follower.Current().Revision(), Update: follower.UpdateSince(fetch.GetSinceRevision()),
	}
	return &encoder.Reply{Body: &encoder.Reply_ConfigurationUpdate{ConfigurationUpdate: news}}
}

func (peerHandler *peerHandler) offered(offer *encoder.ConfigurationOffer) *encoder.Reply {
	follower := peerHandler.daemon.follower
	follower.Offer(offer.GetRevision(), offer.GetUpdate())
	ack := &encoder.ConfigurationAck{Revision: follower.Current().Revision()}
	return &encoder.Reply{Body: &encoder.Reply_ConfigurationAck{ConfigurationAck: ack}}
}

// fetcher asks a peer for the configuration in force.
type fetcher struct {
	daemon *Daemon
}

var errNoPeer = errors.New("no peer is in reach; check the peers' addresses in the host list")

// Fetch asks one peer of the data centre, or else of the region, or any.
func (fetcher *fetcher) Fetch(ctx context.Context, since uint64) ([]byte, error) {
	peer, ok := fetcher.daemon.nearPeer()
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

// nearPeer returns a live peer, of those nearest one at random.
func (daemon *Daemon) nearPeer() (definer.Host, bool) {
	var near []definer.Host
	best := 0
	for _, host := range daemon.monitor.Hosts() {
		if host.Name() == daemon.self.Name() || host.State() != definer.Live {
			continue
		}
		closeness := 1
		switch {
		case host.Place() == daemon.self.Place():
			closeness = 3
		case host.Place().Region() == daemon.self.Place().Region():
			closeness = 2
		}
		if closeness > best {
			best = closeness
			near = nil
		}
		if closeness == best {
			near = append(near, host)
		}
	}
	if len(near) == 0 {
		return definer.Host{}, false
	}
	return near[rand.IntN(len(near))], true
}

// claimants tells the claimer which hosts could own a shard.
type claimants struct {
	daemon *Daemon
}

// Self returns this host's name.
func (claimants *claimants) Self() string { return claimants.daemon.self.Name() }

// Live returns the names of the live hosts.
func (claimants *claimants) Live() []string {
	var names []string
	for _, host := range claimants.daemon.monitor.Hosts() {
		if host.State() == definer.Live {
			names = append(names, host.Name())
		}
	}
	return names
}

// forwarder carries claims to the owner of their shard.
type forwarder struct {
	daemon *Daemon
}

// Forward returns host's reply.
func (forwarder *forwarder) Forward(ctx context.Context, host string, claim []byte) ([]byte, error) {
	forward := &encoder.ClaimForward{Claim: claim}
	request := &encoder.Request{Body: &encoder.Request_ClaimForward{ClaimForward: forward}}
	reply, err := forwarder.daemon.messenger.Call(ctx, host, request)
	if err != nil {
		return nil, err
	}
	return reply.GetClaimForward().GetOutcome(), nil
}
