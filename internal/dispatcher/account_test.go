package dispatcher

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/refuser"
)

// accountTables is a routing table with accounts, a public route and one that is limited
// to regions.
type accountTables struct {
	table   *definer.RouteTable
	current bool
}

func (accountTables accountTables) Table() (*definer.RouteTable, bool) {
	return accountTables.table, accountTables.current
}

func newAccountTables(t testing.TB, current bool, accounts int) accountTables {
	t.Helper()
	to := []definer.Destination{definer.NewDestination("ledger", 1)}
	routes := map[string][]definer.Route{"a.example": {
		definer.NewRoute("private", "/private/", to, definer.RouteRank(1)),
		definer.NewRoute("public", "/public/", to, definer.RoutePublic(true)),
		definer.NewRoute("home", "/home/", to, definer.RouteRegions([]string{"north", "south"})),
	}}
	options := []definer.TableOption{
		definer.WithAccount(definer.NewAccount("clerks", 0), []string{"key-1", "key-2"}),
		definer.WithAccount(definer.NewAccount("notaries", 2).WithRegions([]string{"south", "west"}), []string{"key-3"}),
		definer.WithAccount(definer.NewAccount("far", 0).WithRegions([]string{"east"}), []string{"key-4"}),
	}
	for number := range accounts {
		keys := []string{fmt.Sprint("a-", number), fmt.Sprint("b-", number)}
		options = append(options, definer.WithAccount(definer.NewAccount(fmt.Sprint("account-", number), 0), keys))
	}
	table, err := definer.NewRouteTable(1, routes, nil, definer.CallerLimits{}).With(options...)
	if err != nil {
		t.Fatal(err)
	}
	return accountTables{table: table, current: current}
}

func keyRequest(path, key string) *Request {
	return NewRequest("id", "", http.MethodGet, path, http.Header{}).WithAuthority("a.example").WithAPIKey(key)
}

// TestAuthentication guards against requests that run without a valid key or for another
// account, and against 401 from a host whose keys may be old.
func TestAuthentication(t *testing.T) {
	for _, test := range []struct {
		path, key string
		stale     bool
		account   string
		kind      refuser.Kind
	}{
		{path: "/private/x", key: "key-1", account: "clerks"},
		{path: "/private/x", key: "key-2", account: "clerks"},
		{path: "/private/x", key: "key-3", account: "notaries"},
		{path: "/private/x", key: "key-3", stale: true, account: "notaries"},
		{path: "/private/x", key: "key-9", kind: refuser.KindUnknownKey},
		{path: "/private/x", kind: refuser.KindUnknownKey},
		{path: "/private/x", key: "key-9", stale: true, kind: refuser.KindNoConfiguration},
		{path: "/private/x", stale: true, kind: refuser.KindUnknownKey},
		{path: "/public/x"},
		{path: "/public/x", key: "key-9"},
		{path: "/public/x", key: "key-1", account: "clerks"},
		{path: "/none/x", key: "key-9", kind: refuser.KindNoRoute},
		{path: "/home/x", key: "key-4", kind: refuser.KindNoEndpoint},
	} {
		plan, err := NewRoutePlanner(newAccountTables(t, !test.stale, 0)).Plan(keyRequest(test.path, test.key))
		refusal := new(refuser.Refusal)
		if errors.As(err, &refusal) != (test.kind != "") || test.kind != "" && refusal.Kind() != test.kind {
			t.Errorf("%+v: error %v", test, err)
			continue
		}
		if err != nil {
			continue
		}
		name := ""
		if plan.account != nil {
			name = plan.account.Name()
		}
		if name != test.account || !plan.keysChecked {
			t.Errorf("%+v: account %q, keys checked %v", test, name, plan.keysChecked)
		}
	}
}

// TestRegionsOfRouteAndAccount guards against a request that leaves the regions that its
// route and its account allow.
func TestRegionsOfRouteAndAccount(t *testing.T) {
	planner := NewRoutePlanner(newAccountTables(t, true, 0))
	for _, test := range []struct {
		path, key string
		regions   []string
	}{
		{"/private/x", "key-1", nil},
		{"/home/x", "key-1", []string{"north", "south"}},
		{"/private/x", "key-3", []string{"south", "west"}},
		{"/home/x", "key-3", []string{"south"}},
	} {
		plan, err := planner.Plan(keyRequest(test.path, test.key))
		if err != nil || !slices.Equal(plan.regions, test.regions) {
			t.Errorf("%s with %s: regions %v, %v; want %v", test.path, test.key, plan.regions, err, test.regions)
		}
	}
}

// TestAccountRankGoesFirst guards against a request of a less urgent account that goes
// before one of a more urgent account because of its route.
func TestAccountRankGoesFirst(t *testing.T) {
	planner := NewRoutePlanner(newAccountTables(t, true, 0))
	var priorities []int
	for _, request := range []*Request{keyRequest("/public/x", "key-1"), keyRequest("/private/x", "key-1"), keyRequest("/public/x", "key-3"), keyRequest("/private/x", "key-3")} {
		plan, err := planner.Plan(request)
		if err != nil {
			t.Fatal(err)
		}
		priorities = append(priorities, plan.priority)
	}
	if sorted := slices.IsSortedFunc(priorities, func(a, b int) int { return b - a }); !sorted || priorities[1] == priorities[2] {
		t.Errorf("priorities %v, want a decreasing order", priorities)
	}
}

// TestSharedKey guards against a key that identifies either of two accounts.
func TestSharedKey(t *testing.T) {
	shared := []definer.TableOption{
		definer.WithAccount(definer.NewAccount("clerks", 0), []string{"key-1"}),
		definer.WithAccount(definer.NewAccount("notaries", 0), []string{"key-1"}),
	}
	if _, err := new(definer.RouteTable).With(shared...); err == nil {
		t.Error("a table with a key of two accounts is accepted")
	}
}

// BenchmarkAuthentication measures the lookup of a key among 10,000 accounts with two
// keys each. It must not allocate.
func BenchmarkAuthentication(b *testing.B) {
	tables := newAccountTables(b, true, 10000)
	route, request := definer.Route{}, keyRequest("/private/x", "b-9999")
	b.ReportAllocs()
	for b.Loop() {
		if account, err := authenticate(tables.table, true, route, request); err != nil || account == nil {
			b.Fatal(account, err)
		}
	}
}
