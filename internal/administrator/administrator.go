// Package administrator is the HTTP API for operators of an entry host. Package
// runner registers the routes and supplies the sources of answers.
//
// The package authenticates the request, parses the statement with package
// parser, and answers queries from the configuration in force or submits commands
// to the committee. A request without a valid signature is refused with the same
// error in all cases, has no effect and reveals nothing.
//
// The package starts no goroutines; it reads the clock to check the age of
// requests and events, and accesses the store only through [Committee].
package administrator

import (
	"context"
	"crypto/ed25519"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/chivespool/chivespool/internal/arbiter"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/recorder"
)

// ConfigurationSource returns the configuration in force.
type ConfigurationSource interface {
	Current() *definer.Configuration
}

// Committee executes commands and returns the open proposals.
type Committee interface {
	Submit(ctx context.Context, command arbiter.Command) (arbiter.Outcome, error)
	State(ctx context.Context) (arbiter.State, error)
}

// Locator explains the routing of requests.
type Locator interface {
	// Where returns the endpoints that receive requests of a service from region,
	// and those that receive none. The error names the unknown object.
	Where(service, region string) ([]Destination, error)
	// Why returns the reasons why an endpoint receives or does not receive
	// requests, the most significant first.
	Why(endpoint string) ([]string, error)
}

// Reporter returns the state of this entry host.
type Reporter interface {
	Status() []StatusField
	// Hosts returns the entry hosts of the fleet, including this one.
	Hosts() []definer.Host
}

// TimeLine returns the recorded events of this process; *recorder.Recorder
// implements it.
type TimeLine interface {
	Events(since recorder.Stamp) []recorder.Event
}

// Destination is an endpoint with its state in the router.
type Destination struct {
	endpoint string
	home     string
	state    string
	inFlight int
	slots    int
}

// NewDestination returns a Destination in state, such as open, drained or
// ejected, whose home is the entry host named home.
func NewDestination(endpoint, home, state string, inFlight, slots int) Destination {
	return Destination{endpoint: endpoint, home: home, state: state, inFlight: inFlight, slots: slots}
}

// StatusField is one line of the status answer: a name in kebab case and its value.
type StatusField struct{ name, value string }

// NewStatusField returns a field of the status answer.
func NewStatusField(name, value string) StatusField { return StatusField{name: name, value: value} }

// Administrator serves the requests of operators.
type Administrator struct {
	configurationSource ConfigurationSource
	committee           Committee
	// locator, reporter and timeLine are nil if not configured.
	locator  Locator
	reporter Reporter
	timeLine TimeLine
	// bootstrap is the key that may create the first committee, or nil.
	bootstrap ed25519.PublicKey
}

// Option configures an Administrator.
type Option func(*Administrator)

// WithLocator enables the statements where and why.
func WithLocator(locator Locator) Option {
	return func(administrator *Administrator) { administrator.locator = locator }
}

// WithReporter sets the source of the status and of the list of entry hosts.
func WithReporter(reporter Reporter) Option {
	return func(administrator *Administrator) { administrator.reporter = reporter }
}

// WithTimeLine enables the timeline.
func WithTimeLine(timeLine TimeLine) Option {
	return func(administrator *Administrator) { administrator.timeLine = timeLine }
}

// WithBootstrapKey lets the holder of key create the first committee.
func WithBootstrapKey(key ed25519.PublicKey) Option {
	return func(administrator *Administrator) { administrator.bootstrap = key }
}

// New returns an Administrator that answers queries from configurationSource and
// submits commands to committee.
func New(configurationSource ConfigurationSource, committee Committee, options ...Option) *Administrator {
	administrator := &Administrator{configurationSource: configurationSource, committee: committee}
	for _, option := range options {
		option(administrator)
	}
	return administrator
}

// The paths of the API, relative to the group given to Register.
const (
	CommandPath  = "/operator/command"
	TimeLinePath = "/time-line"
)

// Register adds the routes of the API to group.
func (administrator *Administrator) Register(group *echo.Group) {
	group.POST(CommandPath, administrator.serveCommand)
	group.GET(TimeLinePath, administrator.serveTimeLine)
}

// serveCommand executes a signed statement.
func (administrator *Administrator) serveCommand(c echo.Context) error {
	request, err := readRequest(c)
	if err != nil {
		return sendFailure(c, err)
	}
	key, err := administrator.authenticate(request)
	if err != nil {
		return sendFailure(c, err)
	}
	answer, err := administrator.execute(c.Request().Context(), request, key)
	if err != nil {
		return sendFailure(c, err)
	}
	return c.JSON(http.StatusOK, answer)
}
