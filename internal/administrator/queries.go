package administrator

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/parser"
	"github.com/chivespool/chivespool/internal/presenter"
	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/signer"
)

func (administrator *Administrator) status(configuration *definer.Configuration) *presenter.Answer {
	answer := presenter.New("name", "value")
	if administrator.reporter == nil {
		return answer.Add("revision", fmt.Sprint(configuration.Revision()))
	}
	for _, statusField := range administrator.reporter.Status() {
		answer.Add(statusField.name, statusField.value)
	}
	return answer
}

func (administrator *Administrator) where(configuration *definer.Configuration, body parser.Where) (*presenter.Answer, error) {
	if _, ok := configuration.Service(body.Service()); !ok {
		return nil, definer.NewChangeError(definer.Missing, definer.NewObject(definer.KindService, body.Service()),
			"does not exist", "see the names with: show services")
	}
	if administrator.locator == nil {
		return nil, fmt.Errorf("this host does not know where work goes; ask another entry host")
	}
	destinations, err := administrator.locator.Where(body.Service(), body.Region())
	if err != nil {
		return nil, err
	}
	answer := presenter.New("endpoint", "home", "state", "in-flight", "slots")
	for _, destination := range destinations {
		answer.Add(destination.endpoint, destination.home, destination.state,
			fmt.Sprint(destination.inFlight), fmt.Sprint(destination.slots))
	}
	return answer, nil
}

func (administrator *Administrator) why(configuration *definer.Configuration, body parser.Why) (*presenter.Answer, error) {
	endpoint, ok := configuration.Endpoint(body.Endpoint())
	if !ok {
		return nil, definer.NewChangeError(definer.Missing, definer.NewObject(definer.KindEndpoint, body.Endpoint()),
			"does not exist", "see the names with: show endpoints")
	}
	answer := presenter.New("reason")
	if endpoint.Drained() {
		answer.Add("operators drained it; restore it with: restore endpoint " + endpoint.Name())
	}
	if administrator.locator == nil {
		return answer, nil
	}
	reasons, err := administrator.locator.Why(body.Endpoint())
	if err != nil {
		return nil, err
	}
	for _, reason := range reasons {
		answer.Add(reason)
	}
	return answer, nil
}

// names lists all names by kind, for completion.
func (administrator *Administrator) names(ctx context.Context, configuration *definer.Configuration) *presenter.Answer {
	answer := presenter.New("kind", "name")
	for _, service := range configuration.Services() {
		answer.Add("service", service.Name())
	}
	for _, pool := range configuration.Pools() {
		answer.Add("pool", pool)
	}
	regions := map[string]bool{}
	for _, endpoint := range configuration.Endpoints() {
		answer.Add("endpoint", endpoint.Name())
		if place := endpoint.Place(); !regions[place.Region()] {
			regions[place.Region()] = true
			answer.Add("region", place.Region())
		}
	}
	for _, rule := range configuration.Rules() {
		answer.Add("rule", rule.Name())
	}
	for _, member := range configuration.Committee().Members() {
		answer.Add("member", member.Name())
	}
	// Proposals are left out while the store is unavailable.
	if state, err := administrator.committee.State(ctx); err == nil {
		for _, proposal := range state.Proposals() {
			answer.Add("proposal", proposal.ID())
		}
	}
	return answer
}

// Event is the wire format of an event of the timeline.
type Event struct {
	Wall    int64  `json:"wall"`
	Counter uint32 `json:"counter"`
	Process string `json:"process"`
	Kind    string `json:"kind"`
	Object  string `json:"object"`
	Text    string `json:"text"`
}

// Event converts the wire format to a [recorder.Event].
func (event Event) Event() recorder.Event {
	stamp := recorder.NewStamp(event.Wall, event.Counter)
	return recorder.NewEvent(stamp, event.Process, recorder.Kind(event.Kind), event.Object, event.Text)
}

// Events is the response to a GET of the timeline.
type Events struct {
	// Hosts are the addresses of all entry hosts, so that a client can fetch the
	// events of each.
	Hosts  []string `json:"hosts"`
	Events []Event  `json:"events"`
}

// serveTimeLine sends the events of this host since the time in the query
// parameter since, in Unix nanoseconds.
func (administrator *Administrator) serveTimeLine(c echo.Context) error {
	request, err := signer.ParseAuthorization(c.Request().Header.Get(echo.HeaderAuthorization))
	if err != nil || request.Command != "GET "+c.Request().URL.RequestURI() {
		return sendFailure(c, AuthorizationError{})
	}
	if _, err := administrator.authenticate(request); err != nil {
		return sendFailure(c, err)
	}
	since, err := strconv.ParseInt(c.QueryParam("since"), 10, 64)
	if err != nil && c.QueryParam("since") != "" {
		return sendFailure(c, fmt.Errorf("since is no number; give Unix nanoseconds"))
	}
	answer := Events{Hosts: []string{}, Events: []Event{}}
	if administrator.reporter != nil {
		for _, host := range administrator.reporter.Hosts() {
			answer.Hosts = append(answer.Hosts, host.Address())
		}
	}
	for _, event := range administrator.eventsSince(since) {
		answer.Events = append(answer.Events, Event{
			Wall: event.Stamp().Wall(), Counter: event.Stamp().Counter(), Process: event.Process(),
			Kind: string(event.Kind()), Object: event.Object(), Text: event.Text(),
		})
	}
	return c.JSON(http.StatusOK, answer)
}

func (administrator *Administrator) eventsSince(wall int64) []recorder.Event {
	if administrator.timeLine == nil {
		return nil
	}
	return administrator.timeLine.Events(recorder.NewStamp(wall, 0))
}

// events answers with the events of this host only.
func (administrator *Administrator) events(body parser.TimeLine) *presenter.Answer {
	since := int64(0)
	if body.Since() > 0 {
		since = time.Now().Add(-body.Since()).UnixNano()
	}
	return FormatEvents(administrator.eventsSince(since))
}

// FormatEvents formats events as a table.
func FormatEvents(events []recorder.Event) *presenter.Answer {
	answer := presenter.New("time", "process", "kind", "object", "text")
	for _, event := range events {
		at := event.Stamp().Time().UTC().Format("2006-01-02T15:04:05.000000Z")
		answer.Add(at, event.Process(), string(event.Kind()), event.Object(), strings.TrimSpace(event.Text()))
	}
	return answer
}
