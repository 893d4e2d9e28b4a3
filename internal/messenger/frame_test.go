package messenger

import (
	"bytes"
	"testing"

	"github.com/chivespool/chivespool/internal/encoder"
)

// TestTruncatedFrames checks that a message of a peer that is truncated after any byte is an error.
func TestTruncatedFrames(t *testing.T) {
	digest := &encoder.Digest{Sender: "peer", Members: []*encoder.Member{{Name: "self"}, {Name: "other"}}}
	var frame bytes.Buffer
	if err := writeFrame(&frame, &encoder.Reply{Body: &encoder.Reply_Digest{Digest: digest}}, maxFrameBytes); err != nil {
		t.Fatal(err)
	}
	for size := range frame.Len() {
		if err := readFrame(bytes.NewReader(frame.Bytes()[:size]), new(encoder.Reply), maxFrameBytes); err == nil {
			t.Errorf("a frame truncated after %d of %d bytes is accepted", size, frame.Len())
		}
	}
}
