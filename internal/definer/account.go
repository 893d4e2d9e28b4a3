package definer

import (
	"fmt"
	"slices"
)

// Account is a client account: the callers that share a set of API keys, a quota and a
// rank. It is immutable.
type Account struct {
	name string
	// rank orders accounts by urgency; 0 is the most urgent.
	rank int
	// rate is the quota in requests per second from all hosts together; 0 for none.
	rate float64
	// burst is the number of requests that an account may send at once beyond its rate.
	burst float64
	// regions are those whose endpoints may get the account's requests; empty for all.
	regions []string
}

// NewAccount returns an account without a quota that may use all regions.
func NewAccount(name string, rank int) *Account { return &Account{name: name, rank: rank} }

// WithQuota returns a copy with a quota of rate requests per second and a burst; a rate
// of 0 means no quota.
func (account *Account) WithQuota(rate, burst float64) *Account {
	clone := *account
	clone.rate, clone.burst = max(rate, 0), max(burst, 0)
	return &clone
}

// WithRegions returns a copy whose requests only endpoints of regions may get; none means
// all.
func (account *Account) WithRegions(regions []string) *Account {
	clone := *account
	clone.regions = regions
	return &clone
}

// Name returns the account's name, unique in its table.
func (account *Account) Name() string { return account.name }

// Rank returns the urgency; 0 is the most urgent.
func (account *Account) Rank() int { return account.rank }

// Rate returns the quota in requests per second from all hosts together, or 0 for none.
func (account *Account) Rate() float64 { return account.rate }

// Burst returns the number of requests that the account may send at once beyond its
// rate.
func (account *Account) Burst() float64 { return account.burst }

// Regions returns the regions whose endpoints may get the account's requests; empty for
// all. Callers must not modify the slice.
func (account *Account) Regions() []string { return account.regions }

// accounts finds the accounts of a table. The zero value has none.
type accounts struct {
	byKey  map[string]*Account
	byName map[string]*Account
}

// TableOption sets a property of a new route table. It fails if the property contradicts
// others.
type TableOption func(*RouteTable) error

// WithAccount adds an account and its API keys. It fails if the table has the name
// or one of the keys already.
func WithAccount(account *Account, keys []string) TableOption {
	return func(routeTable *RouteTable) error {
		accounts := &routeTable.accounts
		if accounts.byName == nil {
			accounts.byKey, accounts.byName = make(map[string]*Account), make(map[string]*Account)
		}
		if _, ok := accounts.byName[account.name]; ok {
			return fmt.Errorf("account %s is defined twice; remove one definition", account.name)
		}
		accounts.byName[account.name] = account
		for _, key := range keys {
			// The error must not contain the key, since errors are logged.
			if other, ok := accounts.byKey[key]; ok && other != account {
				return fmt.Errorf("accounts %s and %s have a key in common; remove it from one", other.name, account.name)
			}
			accounts.byKey[key] = account
		}
		return nil
	}
}

// WithColdRate sets the number of requests per second that one cold endpoint of service
// takes from all hosts together; 0 for any number.
func WithColdRate(service string, rate float64) TableOption {
	return func(routeTable *RouteTable) error {
		if rate <= 0 {
			return nil
		}
		if routeTable.coldRates == nil {
			routeTable.coldRates = make(map[string]float64)
		}
		routeTable.coldRates[service] = rate
		return nil
	}
}

// HasAccounts reports whether requests need the API key of an account.
func (routeTable *RouteTable) HasAccounts() bool { return len(routeTable.accounts.byName) > 0 }

// Account returns the account that holds key.
func (routeTable *RouteTable) Account(key string) (*Account, bool) {
	account, ok := routeTable.accounts.byKey[key]
	return account, ok
}

// AccountNamed returns the account called name.
func (routeTable *RouteTable) AccountNamed(name string) (*Account, bool) {
	account, ok := routeTable.accounts.byName[name]
	return account, ok
}

// AccountCount returns the number of accounts.
func (routeTable *RouteTable) AccountCount() int { return len(routeTable.accounts.byName) }

// ColdRate returns the number of requests per second that one cold endpoint of service
// takes from all hosts together, or 0 for any number.
func (routeTable *RouteTable) ColdRate(service string) float64 { return routeTable.coldRates[service] }

// CommonRegions returns the regions that both lists allow, where an empty list allows
// all. It returns false if they have none in common.
func CommonRegions(first, second []string) ([]string, bool) {
	switch {
	case len(first) == 0:
		return second, true
	case len(second) == 0:
		return first, true
	}
	var common []string
	for _, region := range first {
		if slices.Contains(second, region) {
			common = append(common, region)
		}
	}
	return common, len(common) > 0
}
