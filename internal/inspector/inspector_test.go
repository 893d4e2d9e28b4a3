package inspector

import (
	"fmt"
	"strings"
	"testing"

	"github.com/chivespool/chivespool/internal/definer"
)

// newFullConfiguration returns a configuration with 10,000 accounts with two keys each.
// The second key of the last account is lastKey.
func newFullConfiguration(version uint64, lastKey string) *Configuration {
	const count = 10_000
	accounts := make([]Account, 0, count)
	for index := range count {
		keys := []string{fmt.Sprintf("secret-%d-a", index), fmt.Sprintf("secret-%d-b", index)}
		if index == count-1 {
			keys[1] = lastKey
		}
		accounts = append(accounts, NewAccount(definer.NewAccount(fmt.Sprintf("account-%d", index), 1), 10, 20, keys))
	}
	limits := definer.NewCallerLimits(16384, 1<<20, 1, 1)
	return NewConfiguration(version, limits, nil, accounts, nil)
}

// TestManyAccounts guards against a common or changed key that is lost among the number
// of accounts that must be supported, and against keys in the model.
func TestManyAccounts(t *testing.T) {
	inForce := newFullConfiguration(1, "secret-last")
	if findings := new(Inspector).Inspect(inForce); len(findings) != 0 {
		t.Errorf("findings without faults: %v", findings)
	}
	changed := newFullConfiguration(2, "secret-0-a")
	if strings.Contains(fmt.Sprintf("%#v", changed.accounts[0]), "secret") {
		t.Error("an account contains its key")
	}
	findings := append(new(Inspector).Inspect(changed), Compare(changed, inForce)...)
	want := []Finding{
		{Error, "common-key", "account account-9999", "account account-0 has an API key in common; remove it from one of them"},
		{Difference, "changed", "account account-9999", "API keys added: 1, removed: 1"},
	}
	if fmt.Sprint(findings) != fmt.Sprint(want) {
		t.Errorf("findings %v, want %v", findings, want)
	}
}
