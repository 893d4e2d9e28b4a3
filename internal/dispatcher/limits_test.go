package dispatcher

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/refuser"
)

// limitedTables is a routing table with limits on the header and the body.
type limitedTables struct{}

func (limitedTables) Table() (*definer.RouteTable, bool) {
	route := definer.NewRoute("r", "/", []definer.Destination{definer.NewDestination("ledger", 1)})
	limits := definer.NewCallerLimits(1000, 5000, 0, 0)
	return definer.NewRouteTable(1, map[string][]definer.Route{"a.example": {route}}, nil, limits), true
}

// TestCallerLimits checks that requests above the routing's limits are refused.
func TestCallerLimits(t *testing.T) {
	for _, test := range []struct {
		header, body int
		kind         refuser.Kind
	}{
		{800, 5000, ""},
		{1000, 0, refuser.KindHeaderTooLarge},
		{0, 5001, refuser.KindTooLarge},
	} {
		header := http.Header{"Cookie": {strings.Repeat("x", test.header)}}
		request := NewRequest("id", "", http.MethodPost, "/x", header).WithAuthority("a.example")
		request, err := request.WithBody(strings.NewReader(strings.Repeat("x", test.body)), int64(test.body))
		if err != nil {
			t.Fatal(err)
		}
		_, err = NewRoutePlanner(limitedTables{}).Plan(request)
		refusal := new(refuser.Refusal)
		if errors.As(err, &refusal) != (test.kind != "") || test.kind != "" && refusal.Kind() != test.kind {
			t.Errorf("%d bytes of header, %d of body: %v, want %q", test.header, test.body, err, test.kind)
		}
	}
}
