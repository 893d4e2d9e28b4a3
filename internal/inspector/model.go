package inspector

import (
	"crypto/sha256"
	"fmt"
	"strconv"
	"strings"

	"github.com/chivespool/chivespool/internal/definer"
)

// Configuration is a configuration as its author wrote it: unlike a
// [definer.RouteTable], it may contradict itself.
type Configuration struct {
	// version is 0 if the author's version is missing or invalid.
	version  uint64
	limits   definer.CallerLimits
	routes   []Route
	accounts []Account
	services []Service
}

// NewConfiguration returns a configuration; routes, accounts and services are in the
// author's order, and version is 0 if it is invalid.
func NewConfiguration(version uint64, limits definer.CallerLimits, routes []Route, accounts []Account, services []Service) *Configuration {
	return &Configuration{version: version, limits: limits, routes: routes, accounts: accounts, services: services}
}

// Version returns the version, or 0 if it is invalid.
func (configuration *Configuration) Version() uint64 { return configuration.version }

// Route is a route of one host name.
type Route struct {
	// host is in lower case.
	host string
	// route has all destinations, also those with weights of 0 and below.
	route definer.Route
	// attempts is the number as written; definer.Route raises it to at least 1.
	attempts  int
	kindKnown bool
}

// NewRoute returns a route of host with its number of attempts as written. kindKnown is
// false if the author's kind of request does not exist.
func NewRoute(host string, route definer.Route, attempts int, kindKnown bool) Route {
	return Route{host: strings.ToLower(host), route: route, attempts: attempts, kindKnown: kindKnown}
}

func (route Route) name() string { return route.route.Name() }

func (route Route) entry() string { return label("route", route.name()) }

func (route Route) properties() []property {
	var destinations []string
	for _, destination := range route.route.Destinations() {
		destinations = append(destinations, fmt.Sprintf("%s:%d", destination.Service(), destination.Weight()))
	}
	return []property{
		{"host", route.host},
		{"prefix", route.route.Prefix()},
		{"repeatable", strconv.FormatBool(route.route.Repeatable())},
		{"destinations", strings.Join(destinations, " ")},
		{"attempts", strconv.Itoa(route.attempts)},
		{"timeout", route.route.Timeout().String()},
		{"target latency", route.route.Target().String()},
		{"rank", strconv.Itoa(route.route.Rank())},
		{"public", strconv.FormatBool(route.route.Public())},
		{"regions", strings.Join(route.route.Regions(), " ")},
	}
}

// keyDigest identifies an API key without revealing it.
type keyDigest [sha256.Size]byte

// emptyKey is the digest of an empty API key.
var emptyKey = keyDigest(sha256.Sum256(nil))

// Account is a client account with digests of its API keys.
type Account struct {
	// account has no quota: definer.Account raises negative numbers to 0.
	account *definer.Account
	rate    float64
	burst   float64
	// keys holds digests only, so that no output can contain a key.
	keys map[keyDigest]struct{}
}

// NewAccount returns an account with its quota as written and its API keys, which are
// not kept.
func NewAccount(account *definer.Account, rate, burst float64, keys []string) Account {
	digests := make(map[keyDigest]struct{}, len(keys))
	for _, key := range keys {
		digests[sha256.Sum256([]byte(key))] = struct{}{}
	}
	return Account{account: account, rate: rate, burst: burst, keys: digests}
}

func (account Account) name() string { return account.account.Name() }

func (account Account) entry() string { return label("account", account.name()) }

func (account Account) properties() []property {
	return []property{
		{"rank", strconv.Itoa(account.account.Rank())},
		{"rate", formatNumber(account.rate)},
		{"burst", formatNumber(account.burst)},
		{"regions", strings.Join(account.account.Regions(), " ")},
	}
}

// keysWithout returns the number of keys that other does not have.
func (account Account) keysWithout(other Account) int {
	count := 0
	for digest := range account.keys {
		if _, ok := other.keys[digest]; !ok {
			count++
		}
	}
	return count
}

// Service is the cluster entry of a service.
type Service struct {
	service    string
	healthPath string
	// coldRate is in requests per second; 0 for any number.
	coldRate float64
}

// NewService returns the cluster entry of a service with the path of its health check
// and the requests per second that one cold endpoint takes, 0 for any number.
func NewService(service, healthPath string, coldRate float64) Service {
	return Service{service: service, healthPath: healthPath, coldRate: coldRate}
}

func (service Service) name() string { return service.service }

func (service Service) entry() string { return label("service", service.service) }

func (service Service) properties() []property {
	return []property{{"health check", service.healthPath}, {"cold rate", formatNumber(service.coldRate)}}
}

func formatNumber(number float64) string { return strconv.FormatFloat(number, 'g', -1, 64) }

// label returns the kind of an entry and its name.
func label(kind, name string) string {
	if name == "" {
		name = "(unnamed)"
	}
	return kind + " " + name
}
