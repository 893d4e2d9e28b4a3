package launcher

import (
	"context"
	"errors"
	"time"

	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/messenger"
	"github.com/chivespool/chivespool/internal/tracker"
)

// peers joins the tracker to the links: it encodes what is asked and answered.
type peers struct {
	gateway *Gateway
	packer  encoder.Packer
}

var errUnknownRequest = errors.New("this release does not know the request")

// Handle answers the calls of other entry hosts.
func (peers *peers) Handle(ctx context.Context, _ string, request *encoder.Request) (*encoder.Reply, error) {
	fetch := request.GetCopyFetch()
	if fetch == nil {
		return nil, messenger.NewError(messenger.Refused, "unknown-request", errUnknownRequest)
	}
	update := peers.gateway.tracker.Serve(ctx, fetch.GetRevision(), fetch.GetProof())
	items, err := peers.packer.Pack(fetch.GetRevision(), update)
	if err != nil {
		return nil, err
	}
	body := &encoder.CopyNews{
		Revision: update.Revision(), Age: int64(update.Age()), Proof: update.Checks(), Whole: update.Complete(), Items: items,
	}
	return &encoder.Reply{Body: &encoder.Reply_CopyNews{CopyNews: body}}, nil
}

// Fetch asks host for what it knows after revision.
func (peers *peers) Fetch(ctx context.Context, host string, revision, proof uint64) (tracker.Update, error) {
	peers.gateway.meet()
	body := &encoder.Request_CopyFetch{CopyFetch: &encoder.CopyFetch{Revision: revision, Proof: proof}}
	reply, err := peers.gateway.messenger.Call(ctx, host, &encoder.Request{Body: body})
	if err != nil {
		return tracker.Update{}, err
	}
	news := reply.GetCopyNews()
	items, err := encoder.UnmarshalItems(news.GetItems())
	if err != nil {
		return tracker.Update{}, err
	}
	return tracker.NewUpdate(news.GetRevision(), time.Duration(news.GetAge()), news.GetProof(), news.GetWhole(), items), nil
}
