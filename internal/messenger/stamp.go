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

// refusalLimiter counts the peers refused lately.
type refusalLimiter struct {
	// mu guards the fields below.
	mu          sync.Mutex
	windowStart time.Time
	count       int
}

// allowEvent reports whether a refusal at now goes on the time line, and how many
// were left out before.
func (refusalLimiter *refusalLimiter) allowEvent(now time.Time) (ok bool, suppressed int) {
	refusalLimiter.mu.Lock()
	defer refusalLimiter.mu.Unlock()
	if now.Sub(refusalLimiter.windowStart) >= refusalWindow {
		suppressed = max(0, refusalLimiter.count-maxRefusals)
		refusalLimiter.windowStart = now
		refusalLimiter.count = 0
	}
	refusalLimiter.count++
	return refusalLimiter.count <= maxRefusals, suppressed
}

// refuse notes that a peer was turned away and why.
func (messenger *Messenger) refuse(object, reason string) {
	ok, suppressed := messenger.allowEvent(time.Now())
	if !ok {
		return
	}
	text := "refused: " + reason
	if suppressed > 0 {
		text += fmt.Sprintf(" (%d more left out)", suppressed)
	}
	messenger.record(object, text)
}

// record puts an event about a peer on the time line.
func (messenger *Messenger) record(object, text string) {
	if line := messenger.snapshot().recorder; line != nil {
		line.Record(recorder.KindPeer, object, text)
	}
}

// recordCredentials puts changes of the credentials on the time line.
func (messenger *Messenger) recordCredentials(credentials *Credentials) {
	if update := credentials.takeUpdate(); update != "" {
		messenger.record("credentials", update)
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
