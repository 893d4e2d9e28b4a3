package runner

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/pkg/client"
)

// TestEndToEnd is a golden session over the full request path: a caller that
// asks which entry hosts to use, entry hosts in two regions, endpoints, and the
// platform.
func TestEndToEnd(t *testing.T) {
	cluster := newCluster(t)
	changes := []definer.Change{
		definer.SetPool("ledger"), definer.SetService(definer.NewService("ledger", "ledger")),
		definer.SetRule(definer.NewRule("sums", "ledger", http.MethodPost, "/sums", definer.Repeatable(true))),
	}
	for index, place := range clusterPlaces {
		changes = append(changes, definer.SetEndpoint(cluster.startEndpoint(fmt.Sprintf("ledger-%d", index), "ledger", place)))
	}
	cluster.bootstrap(changes...)
	for index, place := range clusterPlaces {
		cluster.startDaemon(fmt.Sprintf("entry-%d", index), place, "")
	}
	callers := client.New(cluster.daemons[0].self.Address()).WithPlace("nairobi", "nairobi-a")
	t.Cleanup(func() { _ = callers.Close() })
	session := &session{cluster: cluster, callers: callers}
	datadriven.RunTest(t, "testdata/whole-path", func(t *testing.T, data *datadriven.TestData) string {
		switch data.Cmd {
		case "send":
			return session.send(t, data)
		case "endpoint":
			return session.setFaults(t, data)
		}
		t.Fatalf("unknown command %s", data.Cmd)
		return ""
	})
}

// session sends requests of one caller to a cluster.
type session struct {
	cluster *cluster
	callers *client.Client
}

// send sends one request per line, "METHOD service path [header=value ...]", and
// prints the outcome of each.
func (session *session) send(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	var output strings.Builder
	for line := range strings.Lines(data.Input) {
		fields := strings.Fields(line)
		request := client.NewRequest(fields[1], fields[0], fields[2], []byte("body"))
		for _, field := range fields[3:] {
			name, value, _ := strings.Cut(field, "=")
			request.Header().Set(name, value)
		}
		outcome := session.outcome(t, request)
		for strings.Contains(outcome, "no outcome is recorded") {
			outcome = session.outcome(t, request) // The outcome is recorded after the answer is sent.
		}
		output.WriteString(outcome + "\n")
	}
	return output.String()
}

// deadlineOutcome is printed both for the entry host's refusal and for the
// endpoint's own answer: the deadline passes at both, and either may come first.
const deadlineOutcome = "504 at the deadline, may have run"

func (session *session) outcome(t *testing.T, request *client.Request) string {
	t.Helper()
	response, err := session.callers.Do(t.Context(), request)
	var problem *client.Problem
	if errors.As(err, &problem) && problem.Status == http.StatusGatewayTimeout && problem.Ran == "unknown" {
		return deadlineOutcome
	}
	if errors.As(err, &problem) {
		return fmt.Sprintf("%d %s, ran %s: %s", problem.Status, problem.Kind, problem.Ran, problem.Detail)
	}
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusGatewayTimeout {
		return deadlineOutcome
	}
	size, err := io.Copy(io.Discard, response.Body)
	text := fmt.Sprintf("%d, %d bytes", response.StatusCode, size)
	if response.Header.Get("Idempotency-Replayed") != "" {
		text += ", recorded earlier"
	}
	if err != nil {
		text += ", then " + err.Error()
	}
	return text
}

// setFaults sets a fault of all endpoints: "endpoint fault=value".
func (session *session) setFaults(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	for _, backend := range session.cluster.backends {
		settings := backend.Settings()
		for _, arg := range data.CmdArgs {
			switch arg.Key {
			case "draining":
				settings.Draining = arg.Vals[0] == "true"
			case "fail-fast":
				arg.Scan(t, 0, &settings.FailFast)
			}
		}
		backend.Change(settings)
	}
	return ""
}
