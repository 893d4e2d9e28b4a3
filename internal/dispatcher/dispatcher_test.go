package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/datadriven"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/router"
)

// scriptedSender ends each attempt with the next step of its script.
type scriptedSender struct {
	script []string
	// bodies holds the size of the body that each attempt read.
	bodies []string
}

var scriptedCauses = map[string]*Failure{
	"unconnected": NewFailure(Unconnected, false, nil),
	"unwritten":   NewFailure(Unconnected, false, errors.New("reused connection was closed")),
	"shed":        NewFailure(Shed, true, nil),
	"draining":    NewFailure(Draining, true, nil),
	"lost":        NewFailure(ConnectionLost, true, nil),
	"abandoned":   NewFailure(Cancelled, true, nil),
	"overdue":     NewFailure(DeadlineExceeded, true, nil),
}

func (scriptedSender *scriptedSender) Send(_ context.Context, _ definer.Endpoint, request *Request) (*Answer, error) {
	step := scriptedSender.script[0]
	scriptedSender.script = scriptedSender.script[1:]
	if failure := scriptedCauses[step]; failure != nil {
		if failure.sent {
			scriptedSender.read(request)
		}
		return nil, failure
	}
	scriptedSender.read(request)
	switch step {
	case "cut":
		return NewAnswer(http.StatusOK, http.Header{}, 9, io.NopCloser(&cutBody{})), nil
	case "cut-stream":
		return NewAnswer(http.StatusOK, http.Header{}, -1, io.NopCloser(&cutBody{})), nil
	}
	return NewAnswer(http.StatusOK, http.Header{}, 2, newMemoryBody([]byte("ok"))), nil
}

func (scriptedSender *scriptedSender) read(request *Request) {
	body := request.Body()
	if body == nil {
		return
	}
	text, _ := io.ReadAll(body)
	scriptedSender.bodies = append(scriptedSender.bodies, fmt.Sprint(len(text)))
}

// cutBody fails after its first bytes.
type cutBody struct{ started bool }

func (cutBody *cutBody) Read(buffer []byte) (int, error) {
	if cutBody.started {
		return 0, NewFailure(Malformed, true, nil)
	}
	cutBody.started = true
	return copy(buffer, "half"), nil
}

type fixedConfiguration struct{ *definer.Configuration }

func (fixedConfiguration fixedConfiguration) Current() *definer.Configuration {
	return fixedConfiguration.Configuration
}

func testConfiguration() *definer.Configuration {
	place := definer.NewPlace("nairobi", "nairobi-a")
	configuration := new(definer.Configuration).WithPool("ledger").
		WithService(definer.NewService("ledger", "ledger")).
		WithRule(definer.NewRule("sums", "ledger", http.MethodPost, "/sums", definer.Repeatable(true))).
		WithRule(definer.NewRule("once", "ledger", http.MethodGet, "/once"))
	for index := range 4 {
		name := fmt.Sprintf("ledger-%d", index)
		configuration = configuration.WithEndpoint(definer.NewEndpoint(name, "ledger", name+":1", place, 4))
	}
	return configuration.WithRevision(1)
}

func newDispatcher(sender Sender) *Dispatcher {
	configuration := testConfiguration()
	host := definer.NewHost("host-1", "127.0.0.1:1", "127.0.0.1:2", definer.NewPlace("nairobi", "nairobi-a"), 1)
	routers := &router.Router{}
	routers.Update(configuration, host, []definer.Host{host})
	dispatcher := New(fixedConfiguration{configuration}, RouterAdapter{Router: routers}, sender, &recorder.Recorder{})
	dispatcher.SetLimits(3, DefaultTimeout, 0.1)
	return dispatcher
}

// TestScriptedAttempts sends requests to endpoints that follow a script, and shows
// the caller's result and the size of each body sent.
func TestScriptedAttempts(t *testing.T) {
	datadriven.RunTest(t, "testdata/attempts", func(t *testing.T, data *datadriven.TestData) string {
		var output strings.Builder
		for line := range strings.Lines(data.Input) {
			fields := strings.Fields(line)
			synctest.Test(t, func(t *testing.T) {
				output.WriteString(runScript(t, data.Cmd, fields[0], fields[1:]))
			})
		}
		return output.String()
	})
}

// runScript sends a request to path; command is METHOD or METHOD-SIZE, where SIZE
// names the size of the body.
func runScript(t *testing.T, command, path string, script []string) string {
	t.Helper()
	method, size, _ := strings.Cut(command, "-")
	sender := &scriptedSender{script: script}
	dispatcher := newDispatcher(sender)
	request := NewRequest("id-1", "ledger", strings.ToUpper(method), path, http.Header{})
	body := strings.Repeat("x", map[string]int{"small": 9, "large": BufferedBodyBytes + 9}[size])
	request, err := request.WithBody(strings.NewReader(body), int64(len(body)))
	if err != nil {
		t.Fatal(err)
	}
	answer, err := dispatcher.Dispatch(t.Context(), request)
	text := "sent " + strings.Join(sender.bodies, " ") + ": "
	if err != nil {
		var refusal *refuser.Refusal
		if !errors.As(err, &refusal) {
			t.Fatalf("got error %v, want a refusal", err)
		}
		return fmt.Sprintf("%s%s, ran %s\n", text, refusal.Kind(), refusal.Ran())
	}
	got, err := io.ReadAll(answer)
	_ = answer.Close()
	if err != nil {
		return fmt.Sprintf("%sanswer %q, then %v\n", text, got, err)
	}
	return fmt.Sprintf("%sanswer %q\n", text, got)
}

func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &scriptedSender{}
		dispatcher := newDispatcher(sender)
		attempts := 0
		const requests = 1000
		for range requests {
			sender.script = []string{"lost", "lost", "lost"}
			request := NewRequest("id", "ledger", http.MethodGet, "/", http.Header{})
			_, err := dispatcher.Dispatch(t.Context(), request)
			if err == nil {
				t.Fatal("got an answer although every attempt failed")
			}
			attempts += 3 - len(sender.script)
		}
		if retries := attempts - requests; retries > requests/10+defaultBurst {
			t.Fatalf("%d retries for %d requests, want a tenth and %d at most", retries, requests, defaultBurst)
		}
	})
}

func TestFingerprintDistinguishesRequests(t *testing.T) {
	seen := make(map[[32]byte]string)
	for _, text := range []string{"a|b|/c|d", "ab||/c|d", "a|b|/c|e", "a|b|/d|d", "a|c|/c|d"} {
		parts := strings.Split(text, "|")
		request, err := NewRequest("x", parts[0], parts[1], parts[2], nil).WithBody(strings.NewReader(parts[3]), 1)
		if err != nil {
			t.Fatal(err)
		}
		if other, ok := seen[request.Fingerprint()]; ok {
			t.Errorf("%s and %s have the same fingerprint", text, other)
		}
		seen[request.Fingerprint()] = text
	}
}
