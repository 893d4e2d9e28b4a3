package messenger

import (
	"context"
	"errors"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/monitor"
)

var errNoDigest = errors.New("the peer answered without a digest")

// DigestHandler is the membership service, which answers the digests of peers.
type DigestHandler interface {
	// HandleDigest merges the digest that from sent, and returns the digest to reply.
	HandleDigest(from string, digest monitor.Digest) monitor.Digest
	// Probe exchanges digests with host and returns nil if it answers.
	Probe(ctx context.Context, host string) error
}

// Exchange sends digest to host and returns the digest that host replies.
func (messenger *Messenger) Exchange(ctx context.Context, host string, digest monitor.Digest) (monitor.Digest, error) {
	body := &encoder.Request_Digest{Digest: encodeDigest(digest)}
	reply, err := messenger.Call(ctx, host, &encoder.Request{Body: body})
	if err != nil {
		return monitor.Digest{}, err
	}
	if reply.GetDigest() == nil {
		return monitor.Digest{}, &CallError{kind: Failed, host: host, cause: errNoDigest}
	}
	return decodeDigest(reply.GetDigest()), nil
}

// ProbeVia asks the peer via to probe host, and returns nil if host answers.
func (messenger *Messenger) ProbeVia(ctx context.Context, via, host string) error {
	body := &encoder.Request_Reach{Reach: &encoder.ReachRequest{Host: host}}
	_, err := messenger.Call(ctx, via, &encoder.Request{Body: body})
	return err
}

// handleMembership returns the reply to a digest or to a request to probe a host,
// or nil if request is neither.
func (messenger *Messenger) handleMembership(ctx context.Context, from string, request *encoder.Request) *encoder.Reply {
	handler := messenger.snapshot().digestHandler
	if handler == nil {
		return nil
	}
	if digest := request.GetDigest(); digest != nil {
		answer := handler.HandleDigest(from, decodeDigest(digest))
		return &encoder.Reply{Body: &encoder.Reply_Digest{Digest: encodeDigest(answer)}}
	}
	if reach := request.GetReach(); reach != nil {
		if err := handler.Probe(ctx, reach.GetHost()); err != nil {
			return failureReply(NewError(Failed, "not-reached", err))
		}
		return &encoder.Reply{Body: &encoder.Reply_Reach{Reach: new(encoder.ReachReply)}}
	}
	return nil
}

func encodeDigest(digest monitor.Digest) *encoder.Digest {
	encoded := &encoder.Digest{
		Sender: digest.Sender(), Checksum: digest.Checksum(), Levelling: digest.AntiEntropy(),
	}
	for _, member := range digest.Members() {
		encoded.Members = append(encoded.Members, &encoder.Member{
			Name: member.Name(), Address: member.Address(), PeerAddress: member.PeerAddress(),
			Region: member.Place().Region(), DataCentre: member.Place().DataCentre(),
			Incarnation: member.Incarnation(), Refutation: member.Refutation(),
			State: encoder.HostState(member.State()),
		})
	}
	for _, partition := range digest.Partitions() {
		encoded.Cuts = append(encoded.Cuts, &encoder.Cut{
			FromRegion: partition.From(), ToRegion: partition.To(), Cut: partition.Active(), Version: partition.Version(),
		})
	}
	for _, endpoint := range digest.Endpoints() {
		encoded.Endpoints = append(encoded.Endpoints, &encoder.EndpointState{
			Name: endpoint.Name(), Leaving: endpoint.Leaving(), Version: endpoint.Version(),
		})
	}
	return encoded
}

// decodeDigest converts a received digest. It omits invalid members, since a peer
// may send arbitrary data.
func decodeDigest(encoded *encoder.Digest) monitor.Digest {
	var members []monitor.Member
	for _, member := range encoded.GetMembers() {
		if !validMember(member) {
			continue
		}
		place := definer.NewPlace(member.GetRegion(), member.GetDataCentre())
		host := definer.NewHost(member.GetName(), member.GetAddress(), member.GetPeerAddress(), place,
			member.GetIncarnation()).WithState(definer.HostState(member.GetState()))
		members = append(members, monitor.NewMember(host, member.GetRefutation()))
	}
	var partitions []monitor.Partition
	for _, cut := range encoded.GetCuts() {
		partitions = append(partitions, monitor.NewPartition(cut.GetFromRegion(), cut.GetToRegion(), cut.GetCut(), cut.GetVersion()))
	}
	var endpoints []monitor.EndpointState
	for _, endpoint := range encoded.GetEndpoints() {
		endpoints = append(endpoints,
			monitor.NewEndpointState(endpoint.GetName(), endpoint.GetLeaving(), endpoint.GetVersion()))
	}
	digest := monitor.NewDigest(encoded.GetSender(), encoded.GetChecksum(), members, partitions, encoded.GetLevelling())
	return digest.WithEndpoints(endpoints)
}

// maxRefutation bounds the refutation count that a peer may send, so that the
// count can't be made to overflow.
const maxRefutation = 1 << 30

// validMember reports whether member has a name, a known state, and fields within
// their bounds.
func validMember(member *encoder.Member) bool {
	for _, text := range []string{
		member.GetName(), member.GetAddress(), member.GetPeerAddress(),
		member.GetRegion(), member.GetDataCentre(),
	} {
		if len(text) > maxNameBytes {
			return false
		}
	}
	state := member.GetState()
	known := state >= encoder.HostState_HOST_STATE_LIVE && state <= encoder.HostState_HOST_STATE_GONE
	return known && member.GetName() != "" && member.GetRefutation() < maxRefutation
}
