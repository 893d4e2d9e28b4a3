package launcher

import (
	"context"
	"errors"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/messenger"
	"github.com/chivespool/chivespool/internal/tracker"
)

// peers connects the tracker and the throttler to the messenger: it encodes and decodes
// the requests and replies between entry hosts.
type peers struct {
	gateway *Gateway
	packer  encoder.Packer
}

var errUnknownRequest = errors.New("this release does not know the request")

// Handle answers a request of another entry host.
func (peers *peers) Handle(ctx context.Context, _ string, request *encoder.Request) (*encoder.Reply, error) {
	if fetch := request.GetCopyFetch(); fetch != nil {
		return peers.serveCopy(ctx, fetch)
	}
	if fetch := request.GetPermitFetch(); fetch != nil {
		return peers.gateway.permits.serve(fetch)
	}
	return nil, messenger.NewError(messenger.Refused, "unknown-request", errUnknownRequest)
}

// serveCopy answers a host that asks for the changes of the store.
func (peers *peers) serveCopy(ctx context.Context, fetch *encoder.CopyFetch) (*encoder.Reply, error) {
	after := definer.NewPoint(fetch.GetEra(), fetch.GetRevision())
	update := peers.gateway.tracker.Serve(ctx, after, fetch.GetProof())
	items, err := peers.packer.Pack(after, update)
	if err != nil {
		return nil, err
	}
	body := &encoder.CopyNews{
		Era: update.Point().Era(), Revision: update.Point().Revision(), Age: int64(update.Age()), Held: int64(update.Held()),
		Proof: update.Checks(), Whole: update.Complete(), Items: items,
	}
	return &encoder.Reply{Body: &encoder.Reply_CopyNews{CopyNews: body}}, nil
}

// Fetch asks host for the changes of the store after a point.
func (peers *peers) Fetch(ctx context.Context, host string, after definer.Point, proof uint64) (tracker.Update, error) {
	peers.gateway.updatePeers()
	body := &encoder.Request_CopyFetch{CopyFetch: &encoder.CopyFetch{Era: after.Era(), Revision: after.Revision(), Proof: proof}}
	reply, err := peers.gateway.messenger.Call(ctx, host, &encoder.Request{Body: body})
	if err != nil {
		return tracker.Update{}, err
	}
	update := reply.GetCopyNews()
	items, err := encoder.UnmarshalItems(update.GetItems())
	if err != nil {
		return tracker.Update{}, err
	}
	point := definer.NewPoint(update.GetEra(), update.GetRevision())
	received := tracker.NewUpdate(point, time.Duration(update.GetAge()), update.GetProof(), update.GetWhole(), items)
	return received.WithHeld(time.Duration(update.GetHeld())), nil
}
