package messenger

import (
	"fmt"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/recorder"
)

// maxRefusals bounds how many refusals go on the time line in refusalWindow;
// the rest are only counted, so that a flood does not push out other events.
const (
	maxRefusals   = 10
	refusalWindow = time.Second
)

// refusals counts the peers refused lately.
type refusals struct {
	// mu guards the fields below.
	mu     sync.Mutex
	began  time.Time
	number int
}

// count reports whether a refusal at now goes on the time line, and how many
// were left out before.
func (refusals *refusals) count(now time.Time) (ok bool, left int) {
	refusals.mu.Lock()
	defer refusals.mu.Unlock()
	if now.Sub(refusals.began) >= refusalWindow {
		left = max(0, refusals.number-maxRefusals)
		refusals.began = now
		refusals.number = 0
	}
	refusals.number++
	return refusals.number <= maxRefusals, left
}

// refuse notes that a peer was turned away and why.
func (messenger *Messenger) refuse(who, reason string) {
	ok, left := messenger.count(time.Now())
	if !ok {
		return
	}
	text := "refused: " + reason
	if left > 0 {
		text += fmt.Sprintf(" (%d more left out)", left)
	}
	messenger.record(who, text)
}

// record puts an event about a peer on the time line.
func (messenger *Messenger) record(who, text string) {
	if line := messenger.snapshot().recorder; line != nil {
		line.Record(recorder.KindPeer, who, text)
	}
}

// recordCredentials puts changes of the credentials on the time line.
func (messenger *Messenger) recordCredentials(credentials *Credentials) {
	if news := credentials.takeNews(); news != "" {
		messenger.record("credentials", news)
	}
}

// maxSkew bounds how far ahead of this host's clock a peer's stamp may be.
const maxSkew = time.Hour

// stamp returns the time to send along with a message.
func (messenger *Messenger) stamp() *encoder.Stamp {
	line := messenger.snapshot().recorder
	if line == nil {
		return nil
	}
	now := line.Now()
	return &encoder.Stamp{Wall: now.Wall(), Counter: now.Counter()}
}

// observe takes in the time of a message received.
func (messenger *Messenger) observe(stamp *encoder.Stamp) {
	if line := messenger.snapshot().recorder; line != nil && stamp.GetWall() < time.Now().Add(maxSkew).UnixNano() {
		line.Observe(recorder.NewStamp(stamp.GetWall(), stamp.GetCounter()))
	}
}
