package dispatcher

import (
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"github.com/chivespool/chivespool/internal/claimer"
)

// TestBuffersOfAnswers holds many answers that callers do not read. Each answer was
// buffered up to its own bound, and their number was bounded by descriptors alone.
// Answers beyond the bound of all are passed on as they arrive.
func TestBuffersOfAnswers(t *testing.T) {
	const size, count = 256 << 10, 2 * maxHeldAnswerBytes / (256 << 10)
	text := strings.Repeat("x", size-1)
	var dispatcher Dispatcher
	dispatcher.SetBufferedBytes(size)
	var answers []*Answer
	read := 0
	for index := range count {
		length := int64(len(text))
		if index%2 == 0 {
			length = -1
		}
		reader := strings.NewReader(text)
		answer, err := dispatcher.bufferAnswer(NewAnswer(http.StatusOK, nil, length, io.NopCloser(reader)), true)
		if err != nil {
			t.Fatal(err)
		}
		read += len(text) - reader.Len()
		answers = append(answers, answer)
	}
	if held := dispatcher.answers.Held(); held > maxHeldAnswerBytes || read > maxHeldAnswerBytes || read < maxHeldAnswerBytes/2 {
		t.Errorf("%d answers hold %d bytes and have read %d, want at most %d", count, held, read, maxHeldAnswerBytes)
	}
	for _, answer := range answers {
		if got, err := io.ReadAll(answer); err != nil || string(got) != text {
			t.Fatalf("got %d bytes, %v, want %d", len(got), err, len(text))
		}
		_ = answer.Close()
		_ = answer.Close()
	}
	if held := dispatcher.answers.Held(); held != 0 {
		t.Errorf("%d bytes are held after all answers were closed", held)
	}
}

// TestBufferOfChunkedBody checks that a short body in chunks takes no buffer of the
// largest size.
func TestBufferOfChunkedBody(t *testing.T) {
	request, err := NewRequest("r-1", "ledger", http.MethodPost, "/", nil).WithBody(strings.NewReader("short"), -1)
	if err != nil || string(request.buffered) != "short" || request.length != 5 || !request.Buffered() {
		t.Fatalf("got %q of %d bytes, %v", request.buffered, request.length, err)
	}
	if cap(request.buffered) > BufferedBodyBytes/16 {
		t.Errorf("the buffer has %d bytes", cap(request.buffered))
	}
}

// TestBufferedAnswerIsRecorded checks that a buffered answer to a request with a key is
// recorded with its body, so that a repeated request gets it.
func TestBufferedAnswerIsRecorded(t *testing.T) {
	var dispatcher Dispatcher
	answer, err := dispatcher.bufferAnswer(NewAnswer(http.StatusOK, nil, 4, io.NopCloser(strings.NewReader("done"))), false)
	if err != nil {
		t.Fatal(err)
	}
	outcome := outcomeOf(answer, nil)
	if want := claimer.Answered(http.StatusOK, nil, []byte("done")); !reflect.DeepEqual(outcome, want) {
		t.Errorf("recorded %+v, want %+v", outcome, want)
	}
	_ = answer.Close()
	if held := dispatcher.answers.Held(); held != 0 {
		t.Errorf("%d bytes are held after the answer was closed", held)
	}
}
