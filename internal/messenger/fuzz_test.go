package messenger

import (
	"bytes"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/monitor"
	"google.golang.org/protobuf/proto"
)

// FuzzDigest passes arbitrary bytes from a peer through the frame reader, the
// decoder and the membership table. For every input, this host remains live in its
// own table and its answer fits in a frame.
func FuzzDigest(f *testing.F) {
	members := []*encoder.Member{
		{Name: "self", Region: "rift", Incarnation: 7, State: encoder.HostState_HOST_STATE_GONE},
		{Name: "other", Region: "rift", Incarnation: 1, State: encoder.HostState_HOST_STATE_SUSPECT},
		{Name: "third", Region: "coast", State: 9},
	}
	seed := &encoder.Digest{
		Sender: "peer", Members: members, Cuts: []*encoder.Cut{{FromRegion: "rift", ToRegion: "coast", Cut: true, Version: 1}},
		Endpoints: []*encoder.EndpointState{{Name: "ledger-1", Leaving: true, Version: 1}}, Levelling: true,
	}
	var frame bytes.Buffer
	if err := writeFrame(&frame, &encoder.Request{Body: &encoder.Request_Digest{Digest: seed}}, maxFrameBytes); err != nil {
		f.Fatal(err)
	}
	f.Add(frame.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, frame []byte) {
		request := new(encoder.Request)
		if readFrame(bytes.NewReader(frame), request, maxFrameBytes) != nil {
			return
		}
		var table monitor.Table
		now := time.Unix(1000, 0)
		table.SetSelf(definer.NewHost("self", "a", "p", definer.NewPlace("rift", "rift-1"), 7))
		for range 3 {
			table.Merge(now, decodeDigest(request.GetDigest()))
			table.Tick(now)
			answer := encodeDigest(table.Digest(request.GetDigest().GetSender()))
			if proto.Size(answer) > maxFrameBytes {
				t.Fatalf("answer of %d bytes exceeds the frame limit", proto.Size(answer))
			}
			now = now.Add(time.Minute)
		}
		if table.Self().State() != definer.Live {
			t.Fatalf("own host has state %v, want live", table.Self().State())
		}
	})
}
