package selector

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/chivespool/chivespool/internal/definer"
)

// session runs a file of commands against one Selector in virtual time.
type session struct {
	selector Selector
	now      time.Time
	tickets  map[int]*Ticket
	last     int
	// behaviours describe how the backend server of each endpoint answers.
	behaviours map[string]behaviour
}

type behaviour struct {
	outcome Outcome
	runTime time.Duration
}

// runningRequest is a request in flight in serve.
type runningRequest struct {
	ticket *Ticket
	behaviour
	end time.Time
}

func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		session := &session{now: time.Unix(0, 0), tickets: make(map[int]*Ticket), behaviours: make(map[string]behaviour)}
		datadriven.RunTest(t, path, session.run)
	})
}

func (session *session) run(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	switch data.Cmd {
	case "endpoints":
		session.selector.SetEndpoints(session.now, definitions(t, data))
	case "draining":
		session.selector.SetDraining(session.now, strings.Fields(data.Input))
	case "advance":
		session.now = session.now.Add(duration(t, data, "by"))
	case "behave":
		session.behave(t, data)
	case "take":
		return session.take(t, data)
	case "release":
		var id int
		data.ScanArgs(t, "id", &id)
		session.selector.Release(session.now, session.tickets[id], NewResult(outcomeOf(t, data), duration(t, data, "time")))
	case "serve":
		return session.serve(t, data)
	case "lane":
		class := ""
		data.ScanArgs(t, "class", &class)
		return fmt.Sprintln(session.selector.Lane(class, definer.Short))
	case "usable":
		return fmt.Sprintln(session.selector.Usable(session.now))
	case "long-cap":
		return fmt.Sprintln(session.selector.LongLimit(session.now))
	case "status":
		return session.status()
	default:
		t.Fatalf("unknown command %s", data.Cmd)
	}
	return ""
}

func (session *session) status() string {
	var text strings.Builder
	for _, status := range session.selector.Status(session.now) {
		fmt.Fprintf(&text, "%s %s %d/%d\n", status.Endpoint().Name(), status.State(), status.InFlight(), status.Limit())
	}
	return text.String()
}

func (session *session) behave(t *testing.T, data *datadriven.TestData) {
	t.Helper()
	for _, name := range data.CmdArgs[0].Vals {
		session.behaviours[name] = behaviour{outcome: outcomeOf(t, data), runTime: duration(t, data, "time")}
	}
}

func (session *session) take(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	ticket := session.selector.Take(session.now, needOf(t, data))
	if ticket == nil {
		return "wait\n"
	}
	session.last++
	session.tickets[session.last] = ticket
	return fmt.Sprintf("%d on %s\n", session.last, ticket.Endpoint().Name())
}

// serve runs requests, up to at-once at a time, and returns how many each
// endpoint got.
func (session *session) serve(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	count, atOnce := 0, 1
	data.ScanArgs(t, "count", &count)
	data.MaybeScanArgs(t, "at-once", &atOnce)
	counts := make(map[string]int)
	var running []runningRequest
	for started := 0; started < count || len(running) > 0; {
		if started < count && len(running) < atOnce {
			if ticket := session.selector.Take(session.now, needOf(t, data)); ticket != nil {
				started++
				name := ticket.Endpoint().Name()
				counts[name]++
				behaviour := session.behaviours[name]
				running = append(running, runningRequest{ticket, behaviour, session.now.Add(behaviour.runTime)})
				continue
			}
		}
		if len(running) == 0 {
			return "stuck\n"
		}
		slices.SortStableFunc(running, func(left, right runningRequest) int { return left.end.Compare(right.end) })
		session.now = running[0].end
		session.selector.Release(session.now, running[0].ticket, NewResult(running[0].outcome, running[0].runTime))
		running = running[1:]
	}
	var text strings.Builder
	for _, status := range session.selector.Status(session.now) {
		name := status.Endpoint().Name()
		fmt.Fprintf(&text, "%s %d\n", name, counts[name])
	}
	return text.String()
}

// definitions parses lines of a name, a number of slots, and optionally
// drained.
func definitions(t *testing.T, data *datadriven.TestData) []definer.Endpoint {
	t.Helper()
	var endpoints []definer.Endpoint
	for line := range strings.Lines(data.Input) {
		var name, drained string
		var slots int
		_, _ = fmt.Sscan(line, &name, &slots, &drained)
		endpoint := definer.NewEndpoint(name, "pool", "", definer.NewPlace("rift", "r1"), slots)
		endpoints = append(endpoints, endpoint.WithDrained(drained == "drained"))
	}
	return endpoints
}

func needOf(t *testing.T, data *datadriven.TestData) Need {
	t.Helper()
	lane := definer.Short
	if data.HasArg("long") {
		lane = definer.Long
	}
	class, avoid, waiting := "", "", 0
	data.MaybeScanArgs(t, "class", &class)
	data.MaybeScanArgs(t, "avoid", &avoid)
	data.MaybeScanArgs(t, "waiting", &waiting)
	var avoided []string
	if avoid != "" {
		avoided = strings.Split(avoid, "+")
	}
	need := NewNeed(lane, class, data.HasArg("isolated"), avoided).Queued(waiting, data.HasArg("patient"))
	if data.HasArg("spare") {
		need = need.Spare()
	}
	return need
}

func outcomeOf(t *testing.T, data *datadriven.TestData) Outcome {
	t.Helper()
	name := Answered.String()
	data.MaybeScanArgs(t, "outcome", &name)
	for outcome := Answered; outcome <= Unused; outcome++ {
		if outcome.String() == name {
			return outcome
		}
	}
	t.Fatalf("unknown outcome %s", name)
	return Unused
}

func duration(t *testing.T, data *datadriven.TestData, key string) time.Duration {
	t.Helper()
	text := "0s"
	data.MaybeScanArgs(t, key, &text)
	value, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return value
}
