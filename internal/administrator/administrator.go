// Package administrator is the operators' HTTP front of an entry host. It
// verifies who asks, reads the statement with package parser, and answers from
// the configuration in force, or hands the command to the committee. A request
// without a valid key changes nothing and learns nothing.
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

// Configurations is where the configuration in force is kept.
type Configurations interface {
	Current() *definer.Configuration
}

// Committee takes commands in and knows the open proposals.
type Committee interface {
	Submit(ctx context.Context, command arbiter.Command) (arbiter.Outcome, error)
	State(ctx context.Context) (arbiter.State, error)
}

// Locator knows where work goes.
type Locator interface {
	// Where returns the endpoints that a service's work goes to now from
	// region, and those that get none. The error says what is unknown.
	Where(service, region string) ([]Destination, error)
	// Why returns the reasons why an endpoint gets work or none, the most
	// telling first.
	Why(endpoint string) ([]string, error)
}

// Reporter knows the state of this entry host.
type Reporter interface {
	Status() []Fact
	// Hosts returns the entry hosts of the fleet, this one among them.
	Hosts() []definer.Host
}

// TimeLine holds the events of this process; *recorder.Recorder is one.
type TimeLine interface {
	Events(since recorder.Stamp) []recorder.Event
}

// Destination is an endpoint as the router sees it.
type Destination struct {
	endpoint string
	home     string
	state    string
	inFlight int
	slots    int
}

// NewDestination returns an endpoint in state, such as open, drained or
// ejected, whose home is the entry host called home.
func NewDestination(endpoint, home, state string, inFlight, slots int) Destination {
	return Destination{endpoint: endpoint, home: home, state: state, inFlight: inFlight, slots: slots}
}

// Fact is one line of a status: a name in kebab case and its value.
type Fact struct{ name, value string }

// NewFact returns a fact.
func NewFact(name, value string) Fact { return Fact{name: name, value: value} }

// Administrator answers operators.
type Administrator struct {
	configurations Configurations
	committee      Committee
	// locator, reporter and timeLine are nil where nothing is known of them.
	locator  Locator
	reporter Reporter
	timeLine TimeLine
	// bootstrap is the key that may make the first committee; nil for none.
	bootstrap ed25519.PublicKey
}

// Option sets one part of an Administrator.
type Option func(*Administrator)

// WithLocator lets operators ask where work goes.
func WithLocator(locator Locator) Option {
	return func(administrator *Administrator) { administrator.locator = locator }
}

// WithReporter lets operators ask for the status.
func WithReporter(reporter Reporter) Option {
	return func(administrator *Administrator) { administrator.reporter = reporter }
}

// WithTimeLine lets operators ask for the events.
func WithTimeLine(timeLine TimeLine) Option {
	return func(administrator *Administrator) { administrator.timeLine = timeLine }
}

// WithBootstrapKey lets the holder of key make the first committee.
func WithBootstrapKey(key ed25519.PublicKey) Option {
	return func(administrator *Administrator) { administrator.bootstrap = key }
}

// New returns the operators' front.
func New(configurations Configurations, committee Committee, options ...Option) *Administrator {
	administrator := &Administrator{configurations: configurations, committee: committee}
	for _, option := range options {
		option(administrator)
	}
	return administrator
}

// The paths of the operators' front, under the group of Register.
const (
	CommandPath  = "/operator/command"
	TimeLinePath = "/time-line"
)

// Register adds the operators' routes to group.
func (administrator *Administrator) Register(group *echo.Group) {
	group.POST(CommandPath, administrator.serveCommand)
	group.GET(TimeLinePath, administrator.serveTimeLine)
}

// serveCommand takes a signed statement.
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
