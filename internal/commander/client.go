package commander

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/chivespool/chivespool/internal/administrator"
	"github.com/chivespool/chivespool/internal/presenter"
	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/signer"
)

const (
	// callTimeout limits one call; the host's own timeout of a command is lower.
	callTimeout = 10 * time.Second
	// maxAnswerBytes limits an answer; the timeline of one host is the largest.
	maxAnswerBytes = 16 << 20
)

// client sends signed requests to entry hosts.
type client struct {
	http http.Client
	// entries are the addresses to try in order, at least one.
	entries    []string
	operator   string
	privateKey ed25519.PrivateKey
}

func (client *client) publicKey() ed25519.PublicKey {
	return client.privateKey.Public().(ed25519.PublicKey)
}

// EntryError means that an entry host did not answer a request.
type EntryError struct {
	entry string
	// id and time identify the request, so that it can be repeated.
	id    string
	time  time.Time
	cause error
}

// Unwrap returns the error of the call.
func (entryError *EntryError) Unwrap() error { return entryError.cause }

// Error returns the host, the cause and how to find the outcome.
func (entryError *EntryError) Error() string {
	return fmt.Sprintf("%s gave no answer: %v; ask with: outcome %s, or repeat the command with --again %s",
		entryError.entry, entryError.cause, entryError.id, repeatReference(entryError.id, entryError.time))
}

// AnswerError is an error response from an entry host.
type AnswerError struct {
	failure administrator.Failure
	id      string
	time    time.Time
}

// Kind returns the class of the error, in kebab case.
func (answerError *AnswerError) Kind() string { return answerError.failure.Kind }

// Error returns the host's message. For an unknown outcome it adds how to repeat
// the command.
func (answerError *AnswerError) Error() string {
	if answerError.Kind() == "not-known-yet" {
		return fmt.Sprintf("%s, or repeat it with --again %s", answerError.failure.Error, repeatReference(answerError.id, answerError.time))
	}
	if answerError.failure.Excerpt != "" {
		return answerError.failure.Excerpt
	}
	return answerError.failure.Error
}

// shouldTryNext reports whether another host may succeed. Sending the request
// again is safe, because a request with the same id is never applied twice.
func (answerError *AnswerError) shouldTryNext() bool {
	kind := answerError.Kind()
	return kind == "not-known-yet" || kind == "not-accepted" || strings.HasPrefix(kind, "store-")
}

func repeatReference(id string, at time.Time) string { return id + "@" + at.Format(time.RFC3339Nano) }

// parseRepeatReference parses the result of repeatReference.
func parseRepeatReference(text string) (id string, at time.Time, err error) {
	id, rest, _ := strings.Cut(text, "@")
	at, err = time.Parse(time.RFC3339Nano, rest)
	if err != nil {
		return "", at, fmt.Errorf("%q is not ID@TIME; copy it from the message that named it", text)
	}
	return id, at, nil
}

// send sends the request to the entry hosts in turn until one answers.
func (client *client) send(ctx context.Context, request signer.Request) (*presenter.Answer, error) {
	request.Operator = client.operator
	request = request.Sign(client.privateKey)
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode the request: %w", err)
	}
	var failure error
	for _, entry := range client.entries {
		var answer presenter.Answer
		err := client.call(ctx, http.MethodPost, "http://"+entry+administrator.CommandPath, bytes.NewReader(body), "", &answer)
		if err == nil {
			return &answer, nil
		}
		var answerError *AnswerError
		if errors.As(err, &answerError) {
			answerError.id, answerError.time = request.ID, request.Time
		} else {
			err = &EntryError{entry: entry, id: request.ID, time: request.Time, cause: err}
		}
		// Once an outcome is unknown, its error is kept: a later host's failure
		// does not settle it.
		if failure == nil || !isOutcomeUnknown(failure) {
			failure = err
		}
		if answerError != nil && !answerError.shouldTryNext() {
			return nil, err
		}
	}
	return nil, failure
}

func isOutcomeUnknown(err error) bool {
	var answerError *AnswerError
	return !errors.As(err, &answerError) || answerError.Kind() == "not-known-yet"
}

// call sends one HTTP request and decodes the answer or the failure.
func (client *client) call(ctx context.Context, method, url string, body io.Reader, authorization string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return fmt.Errorf("create the request; check --entry: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	if authorization != "" {
		request.Header.Set("Authorization", authorization)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes))
	if response.StatusCode == http.StatusOK {
		return decodeJSON(decoder, answer)
	}
	var failure administrator.Failure
	if err := decodeJSON(decoder, &failure); err != nil || failure.Error == "" {
		return fmt.Errorf("status %s; check that --entry is an entry host", response.Status)
	}
	return &AnswerError{failure: failure}
}

func decodeJSON(decoder *json.Decoder, answer any) error {
	if err := decoder.Decode(answer); err != nil {
		return fmt.Errorf("decode the answer: %w", err)
	}
	return nil
}

// timeLine returns the events of all entry hosts that answer, in causal order,
// and the addresses of those that failed.
func (client *client) timeLine(ctx context.Context, since time.Time) ([]recorder.Event, []string, error) {
	var eventsByHost [][]recorder.Event
	var failed []string
	queried := map[string]bool{}
	queue := client.entries
	for len(queue) > 0 {
		entry := queue[0]
		queue = queue[1:]
		if queried[entry] {
			continue
		}
		queried[entry] = true
		events, err := client.fetchEvents(ctx, entry, since)
		if err != nil {
			failed = append(failed, entry)
			continue
		}
		queue = append(queue[:len(queue):len(queue)], events.Hosts...)
		hostEvents := make([]recorder.Event, 0, len(events.Events))
		for _, event := range events.Events {
			hostEvents = append(hostEvents, event.Event())
		}
		eventsByHost = append(eventsByHost, hostEvents)
	}
	if len(eventsByHost) == 0 {
		return nil, failed, fmt.Errorf("no entry host returned its timeline; check --entry, --operator and --key")
	}
	return recorder.Merge(eventsByHost...), failed, nil
}

func (client *client) fetchEvents(ctx context.Context, entry string, since time.Time) (administrator.Events, error) {
	var events administrator.Events
	uri := administrator.TimeLinePath
	if !since.IsZero() {
		uri += fmt.Sprintf("?since=%d", since.UnixNano())
	}
	request := signer.Request{Operator: client.operator, Command: "GET " + uri, ID: signer.NewID(), Time: time.Now()}
	authorization, err := request.Sign(client.privateKey).Authorization()
	if err != nil {
		return events, err
	}
	err = client.call(ctx, http.MethodGet, "http://"+entry+uri, nil, authorization, &events)
	return events, err
}
