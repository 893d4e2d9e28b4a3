package messenger

import (
	"context"
	"errors"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/monitor"
)

var errNoDigest = errors.New("the peer answered without a digest")

// DigestHandler takes in what a peer tells of the fleet and tells what it
// knows itself.
type DigestHandler interface {
	Answer(from string, digest monitor.Digest) monitor.Digest
}

// HandleDigests sets who answers the digests of peers.
func (messenger *Messenger) HandleDigests(handler DigestHandler) {
	messenger.mu.Lock()
	defer messenger.mu.Unlock()
	messenger.digests = handler
}

// Exchange tells digest to host and returns what host tells.
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

// handleDigest returns the reply to a peer's digest.
func (messenger *Messenger) handleDigest(from string, digest *encoder.Digest) *encoder.Reply {
	messenger.mu.Lock()
	handler := messenger.digests
	messenger.mu.Unlock()
	if handler == nil {
		return failed(NewError(Refused, "unknown-request", errors.New("no membership is kept here")))
	}
	answer := handler.Answer(from, decodeDigest(digest))
	return &encoder.Reply{Body: &encoder.Reply_Digest{Digest: encodeDigest(answer)}}
}

func encodeDigest(digest monitor.Digest) *encoder.Digest {
	encoded := &encoder.Digest{
		Sender: digest.Sender(), Checksum: digest.Checksum(), Levelling: digest.Levelling(),
	}
	for _, member := range digest.Members() {
		encoded.Members = append(encoded.Members, &encoder.Member{
			Name: member.Name(), Address: member.Address(), PeerAddress: member.PeerAddress(),
			Region: member.Place().Region(), DataCentre: member.Place().DataCentre(),
			Incarnation: member.Incarnation(), Refutation: member.Refutation(),
			State: encoder.HostState(member.State()),
		})
	}
	for _, cut := range digest.Cuts() {
		encoded.Cuts = append(encoded.Cuts, &encoder.Cut{
			FromRegion: cut.From(), ToRegion: cut.To(), Cut: cut.Cut(), Version: cut.Version(),
		})
	}
	return encoded
}

// decodeDigest leaves out members that no host could have: from peers comes
// anything.
func decodeDigest(encoded *encoder.Digest) monitor.Digest {
	var members []monitor.Member
	for _, member := range encoded.GetMembers() {
		if member.GetName() == "" || len(member.GetName()) > maxNameBytes || !known(member.GetState()) {
			continue
		}
		place := definer.NewPlace(member.GetRegion(), member.GetDataCentre())
		host := definer.NewHost(member.GetName(), member.GetAddress(), member.GetPeerAddress(), place,
			member.GetIncarnation()).WithState(definer.HostState(member.GetState()))
		members = append(members, monitor.NewMember(host, member.GetRefutation()))
	}
	var cuts []monitor.Cut
	for _, cut := range encoded.GetCuts() {
		cuts = append(cuts, monitor.NewCut(cut.GetFromRegion(), cut.GetToRegion(), cut.GetCut(), cut.GetVersion()))
	}
	return monitor.NewDigest(encoded.GetSender(), encoded.GetChecksum(), members, cuts, encoded.GetLevelling())
}

// known reports whether state is one of definer's.
func known(state encoder.HostState) bool {
	return state >= encoder.HostState_HOST_STATE_LIVE && state <= encoder.HostState_HOST_STATE_GONE
}
