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
	// callTimeout bounds one call; a command's own bound on the host is lower.
	callTimeout = 10 * time.Second
	// mostAnswerBytes bounds an answer; the time line of one host is the largest.
	mostAnswerBytes = 16 << 20
)

// client sends signed requests to entry hosts.
type client struct {
	http http.Client
	// entries are addresses to try in order; at least one.
	entries  []string
	operator string
	private  ed25519.PrivateKey
}

func (client *client) public() ed25519.PublicKey {
	return client.private.Public().(ed25519.PublicKey)
}

// EntryError says that an entry host gave no answer to a request.
type EntryError struct {
	entry string
	// id and time name the request, for a repeat.
	id    string
	time  time.Time
	cause error
}

// Unwrap returns the failure of the call.
func (entryError *EntryError) Unwrap() error { return entryError.cause }

// Error names the host and how to ask again.
func (entryError *EntryError) Error() string {
	return fmt.Sprintf("%s gave no answer: %v; ask with: outcome %s, or repeat the command with --again %s",
		entryError.entry, entryError.cause, entryError.id, again(entryError.id, entryError.time))
}

// AnswerError is a refusal by an entry host.
type AnswerError struct {
	failure administrator.Failure
	id      string
	time    time.Time
}

// Kind returns the sort of refusal, in kebab case.
func (answerError *AnswerError) Kind() string { return answerError.failure.Kind }

// Error returns what the host said, and for an unknown outcome how to repeat.
func (answerError *AnswerError) Error() string {
	if answerError.Kind() == "not-known-yet" {
		return fmt.Sprintf("%s, or repeat it with --again %s", answerError.failure.Error, again(answerError.id, answerError.time))
	}
	if answerError.failure.Picture != "" {
		return answerError.failure.Picture
	}
	return answerError.failure.Error
}

// mayTryNext reports whether another host may know more: the same request
// never applies twice, so to send it again is safe.
func (answerError *AnswerError) mayTryNext() bool {
	kind := answerError.Kind()
	return kind == "not-known-yet" || kind == "not-accepted" || strings.HasPrefix(kind, "store-")
}

func again(id string, at time.Time) string { return id + "@" + at.Format(time.RFC3339Nano) }

// parseAgain reads what again wrote.
func parseAgain(text string) (id string, at time.Time, err error) {
	id, rest, _ := strings.Cut(text, "@")
	at, err = time.Parse(time.RFC3339Nano, rest)
	if err != nil {
		return "", at, fmt.Errorf("%q is not ID@TIME; copy it from the message that named it", text)
	}
	return id, at, nil
}

// send asks the entry hosts in turn until one answers.
func (client *client) send(ctx context.Context, request signer.Request) (*presenter.Answer, error) {
	request.Operator = client.operator
	request = request.Sign(client.private)
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
		// An unknown outcome stays unknown, whatever another host can't tell.
		if failure == nil || !isUnknown(failure) {
			failure = err
		}
		if answerError != nil && !answerError.mayTryNext() {
			return nil, err
		}
	}
	return nil, failure
}

func isUnknown(err error) bool {
	var answerError *AnswerError
	return !errors.As(err, &answerError) || answerError.Kind() == "not-known-yet"
}

// call makes one call and decodes its answer or its failure.
func (client *client) call(ctx context.Context, method, url string, body io.Reader, authorization string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return fmt.Errorf("make the call; check --entry: %w", err)
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
	decoder := json.NewDecoder(io.LimitReader(response.Body, mostAnswerBytes))
	if response.StatusCode == http.StatusOK {
		return decodeAs(decoder, answer)
	}
	var failure administrator.Failure
	if err := decodeAs(decoder, &failure); err != nil || failure.Error == "" {
		return fmt.Errorf("status %s; check that --entry is an entry host", response.Status)
	}
	return &AnswerError{failure: failure}
}

func decodeAs(decoder *json.Decoder, answer any) error {
	if err := decoder.Decode(answer); err != nil {
		return fmt.Errorf("decode the answer: %w", err)
	}
	return nil
}

// timeLine gathers the events of all entry hosts that answer, in causal order,
// and names those that don't.
func (client *client) timeLine(ctx context.Context, since time.Time) ([]recorder.Event, []string, error) {
	var lines [][]recorder.Event
	var silent []string
	asked := map[string]bool{}
	queue := client.entries
	for len(queue) > 0 {
		entry := queue[0]
		queue = queue[1:]
		if asked[entry] {
			continue
		}
		asked[entry] = true
		events, err := client.eventsOf(ctx, entry, since)
		if err != nil {
			silent = append(silent, entry)
			continue
		}
		queue = append(queue[:len(queue):len(queue)], events.Hosts...)
		line := make([]recorder.Event, 0, len(events.Events))
		for _, event := range events.Events {
			line = append(line, event.Event())
		}
		lines = append(lines, line)
	}
	if len(lines) == 0 {
		return nil, silent, fmt.Errorf("no entry host gave its time line; check --entry, --operator and --key")
	}
	return recorder.Merge(lines...), silent, nil
}

func (client *client) eventsOf(ctx context.Context, entry string, since time.Time) (administrator.Events, error) {
	var events administrator.Events
	uri := administrator.TimeLinePath
	if !since.IsZero() {
		uri += fmt.Sprintf("?since=%d", since.UnixNano())
	}
	request := signer.Request{Operator: client.operator, Command: "GET " + uri, ID: signer.NewID(), Time: time.Now()}
	authorization, err := request.Sign(client.private).Authorization()
	if err != nil {
		return events, err
	}
	err = client.call(ctx, http.MethodGet, "http://"+entry+uri, nil, authorization, &events)
	return events, err
}
