package launcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/loader"
)

// TestAcceptTime checks the division of a planned stop at each bound. Of requests that
// are sent later than 3 s after the stop, none may be cut off, so none may be accepted
// then: with a bound of 10 s, they were for 4.8 s.
func TestAcceptTime(t *testing.T) {
	const lastUncut = 3 * time.Second
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 6 * time.Second, 10 * time.Second, 30 * time.Second, time.Hour} {
		settings, err := loader.Parse("gateway.ini", fmt.Appendf(nil, gatewayText, "front-nbo-a-1", "127.0.0.1:1", "127.0.0.1:2",
			"http://127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5", "127.0.0.1:6", bound))
		if err != nil {
			t.Fatal(err)
		}
		gateway := &Gateway{settings: settings}
		if accept := gateway.acceptTime(); accept >= lastUncut || accept > bound/2 || accept < min(bound, lastUncut)/3 {
			t.Errorf("with a bound of %v, requests are accepted for %v", bound, accept)
		}
		if end := gateway.acceptTime() + gateway.drainTime(); end >= bound || end < bound*9/10 {
			t.Errorf("with a bound of %v, requests may end until %v", bound, end)
		}
	}
}
