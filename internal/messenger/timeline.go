package messenger

import (
	"fmt"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/recorder"
)

// maxRefusals bounds the refusals recorded on the timeline in each refusalWindow.
// Further refusals are only counted, so that a flood does not displace other events.
const (
	maxRefusals   = 10
	refusalWindow = time.Second
)

// refusalLimiter limits the rate of refusals on the timeline.
type refusalLimiter struct {
	// mu guards the fields below.
	mu          sync.Mutex
	windowStart time.Time
	count       int
}

// allowEvent reports whether to record a refusal at now, and how many refusals of
// the previous window were not recorded.
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

// refuse records that a peer was refused, within the bound of maxRefusals.
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

// record adds an event about a peer to the timeline.
func (messenger *Messenger) record(object, text string) {
	if timeline := messenger.snapshot().recorder; timeline != nil {
		timeline.Record(recorder.KindPeer, object, text)
	}
}

// recordCredentials adds reloads of the credentials to the timeline.
func (messenger *Messenger) recordCredentials(credentials *Credentials) {
	if update := credentials.takeUpdate(); update != "" {
		messenger.record("credentials", update)
	}
}

// maxSkew bounds how far a peer's stamp may be ahead of this host's clock.
const maxSkew = time.Hour

// stamp returns the logical time to send with a message, or nil.
func (messenger *Messenger) stamp() *encoder.Stamp {
	timeline := messenger.snapshot().recorder
	if timeline == nil {
		return nil
	}
	now := timeline.Now()
	return &encoder.Stamp{Wall: now.Wall(), Counter: now.Counter()}
}

// observe advances the logical clock to the stamp of a received message. It ignores
// stamps that exceed maxSkew.
func (messenger *Messenger) observe(stamp *encoder.Stamp) {
	if timeline := messenger.snapshot().recorder; timeline != nil && stamp.GetWall() < time.Now().Add(maxSkew).UnixNano() {
		timeline.Observe(recorder.NewStamp(stamp.GetWall(), stamp.GetCounter()))
	}
}
