package acceptor

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/router"
)

// silentEndpoint answers each request with a header, the part of the body in its path,
// and then silence until the deadline, or the end of the connection if the path says
// so. It is its own router and sender.
type silentEndpoint struct {
	// length is the length of the body that the header announces, or -1.
	length int64
	// refusals counts the log lines of refusals that name a request.
	refusals atomic.Int64
	// truncations counts the log lines of truncated answers.
	truncations atomic.Int64
}

// Acquire returns a slot.
func (silentEndpoint *silentEndpoint) Acquire(context.Context, router.Request) (dispatcher.Slot, error) {
	return silentSlot{}, nil
}

// silentSlot is a slot on a silent endpoint.
type silentSlot struct{}

// Endpoint returns the endpoint.
func (silentSlot) Endpoint() definer.Endpoint {
	return definer.NewEndpoint("ledger-1", "ledger", "ledger-1:1", definer.Place{}, 1)
}

// Release does nothing.
func (silentSlot) Release(router.Result) {}

// Send returns an answer whose body fails.
func (silentEndpoint *silentEndpoint) Send(ctx context.Context, _ definer.Endpoint, request *dispatcher.Request) (*dispatcher.Answer, error) {
	part, breaks := strings.CutSuffix(strings.TrimPrefix(request.Target(), "/"), "break")
	body := &silentBody{ctx: ctx, part: strings.NewReader(part), breaks: breaks}
	return dispatcher.NewAnswer(http.StatusOK, http.Header{"X-Signature": {"s"}}, silentEndpoint.length, io.NopCloser(body)), nil
}

// silentBody is a body that fails after its part.
type silentBody struct {
	ctx    context.Context
	part   io.Reader
	breaks bool
}

// Read fails with the cause that package sender gives.
func (silentBody *silentBody) Read(buffer []byte) (int, error) {
	if count, err := silentBody.part.Read(buffer); err == nil {
		return count, nil
	}
	if silentBody.breaks {
		return 0, dispatcher.NewFailure(dispatcher.Malformed, true, io.ErrUnexpectedEOF)
	}
	<-silentBody.ctx.Done()
	return 0, dispatcher.NewFailure(dispatcher.DeadlineExceeded, true, silentBody.ctx.Err())
}

// Current returns a configuration with one service.
func (silentEndpoint *silentEndpoint) Current() *definer.Configuration {
	return new(definer.Configuration).WithPool("ledger").WithService(definer.NewService("ledger", "ledger")).WithRevision(1)
}

// Routine does nothing.
func (silentEndpoint *silentEndpoint) Routine(string, ...any) {}

// Failure counts refusals and truncated answers.
func (silentEndpoint *silentEndpoint) Failure(message string, details ...any) {
	if message == "answer truncated" {
		silentEndpoint.truncations.Add(1)
	}
	if message == "refused" && details[0] == "request" && details[1] != "" {
		silentEndpoint.refusals.Add(1)
	}
}

// newSilentFixture returns a fixture whose requests go to endpoint.
func newSilentFixture(t *testing.T, endpoint *silentEndpoint) *fixture {
	t.Helper()
	return newFixtureWith(t, testLimits, func(acceptor *Acceptor) {
		dispatcher := dispatcher.New(endpoint, endpoint, endpoint, &recorder.Recorder{})
		dispatcher.SetJournal(endpoint)
		dispatcher.SetLimits(1, 100*time.Millisecond, 0)
		acceptor.dispatcher = dispatcher
	})
}

// read reads the next response with its body.
func (fixture *fixture) read(t *testing.T, method string) (response *http.Response, body string, err error) {
	t.Helper()
	response, err = http.ReadResponse(fixture.reader, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// TestHeaderThenSilenceIsRefused checks that a caller gets a refusal, and no header of the
// endpoint, if the endpoint sends the header of its answer and no part of the body. The
// connection was closed without a status.
func TestHeaderThenSilenceIsRefused(t *testing.T) {
	for _, length := range []int64{-1, 1 << 20} {
		for _, text := range []string{get("/"), post("/", "pay"), get("/break"), post("/break", "pay")} {
			method, _, _ := strings.Cut(text, " ")
			status, kind := http.StatusGatewayTimeout, "deadline-exceeded"
			if strings.Contains(text, "break") {
				status, kind = http.StatusBadGateway, "outcome-unknown"
			}
			endpoint := &silentEndpoint{length: length}
			fixture := newSilentFixture(t, endpoint)
			for range 2 {
				fixture.send(t, text)
				response, body, err := fixture.read(t, method)
				if err != nil {
					t.Fatalf("%q, answer of length %d: %v", text, length, err)
				}
				if response.StatusCode != status || !strings.Contains(body, kind) || response.Header.Get("Request-Ran") != "unknown" {
					t.Errorf("%q, answer of length %d: got %d, ran %s, %s; want %d, ran unknown, %s", text, length,
						response.StatusCode, response.Header.Get("Request-Ran"), body, status, kind)
				}
				if response.Close || response.Header.Get("X-Signature") != "" || response.Header.Get(headerEndpoint) != "" {
					t.Errorf("the refusal has the header %v, close %v", response.Header, response.Close)
				}
			}
			if logged := endpoint.refusals.Load(); logged != 2 {
				t.Errorf("%q, answer of length %d: %d of 2 refusals were logged", text, length, logged)
			}
		}
	}
}

// TestPartThenSilenceIsNotComplete checks that an answer of which the caller has got a
// part does not look complete.
func TestPartThenSilenceIsNotComplete(t *testing.T) {
	for _, length := range []int64{-1, 1 << 20} {
		for _, target := range []string{"/part", "/partbreak"} {
			endpoint := &silentEndpoint{length: length}
			fixture := newSilentFixture(t, endpoint)
			fixture.send(t, get(target))
			if response, body, err := fixture.read(t, http.MethodGet); err == nil {
				t.Errorf("%s, answer of length %d: got %d, %q as a complete answer", target, length, response.StatusCode, body)
			}
			if rest, err := io.ReadAll(fixture.reader); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) || len(rest) > 0 {
				t.Errorf("%s, answer of length %d: got %q, %v behind the answer", target, length, rest, err)
			}
			if logged := endpoint.truncations.Load(); logged != 1 {
				t.Errorf("%s, answer of length %d: %d log lines of the truncation", target, length, logged)
			}
		}
	}
}

// TestHeaderOfHeadIsNotRefused checks that the answer to a HEAD request is its header.
func TestHeaderOfHeadIsNotRefused(t *testing.T) {
	fixture := newSilentFixture(t, &silentEndpoint{length: 1 << 20})
	fixture.send(t, strings.Replace(get("/"), "GET", "HEAD", 1))
	response, _, err := fixture.read(t, http.MethodHead)
	if err != nil || response.StatusCode != http.StatusOK || response.ContentLength != 1<<20 || response.Header.Get("X-Signature") != "s" {
		t.Errorf("got %+v, %v", response, err)
	}
}
