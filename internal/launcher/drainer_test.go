package launcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/loader"
)

// leavingSettings are the required settings and the bound of a planned stop.
const leavingSettings = `[host]
name = front-a-1
region = nairobi
data-centre = nbo-a
address = 127.0.0.1:7001
peer-address = 127.0.0.1:7002

[platform]
store = http://127.0.0.1:7901

[gateway]
ready-address = 127.0.0.1:7003
directory-address = 127.0.0.1:7004
metrics-address = 127.0.0.1:7005
data-centres = nbo-a=nairobi
apply-bound = 2000ms
retry-slack = 56

[leaving]
bound = %v
`

// TestAcceptTime checks the division of a planned stop at each bound. Of requests that
// are sent later than 3 s after the stop, none may be cut off, so none may be accepted
// then: with a bound of 10 s, they were for 4.8 s.
func TestAcceptTime(t *testing.T) {
	const lastUncut = 3 * time.Second
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 6 * time.Second, 10 * time.Second, 30 * time.Second, time.Hour} {
		settings, err := loader.Parse("gateway.ini", fmt.Appendf(nil, leavingSettings, bound))
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
