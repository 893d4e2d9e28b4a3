package acceptor

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/refuser"
)

// readingDispatcher reads the body of each request before it answers with its length.
type readingDispatcher struct{ *heldDispatcher }

// Dispatch answers with the number of bytes of the body.
func (readingDispatcher *readingDispatcher) Dispatch(_ context.Context, request *dispatcher.Request) (*dispatcher.Answer, error) {
	count, err := int64(0), error(nil)
	if body := request.Body(); body != nil {
		count, err = io.Copy(io.Discard, body)
	}
	text := fmt.Sprintf("%d bytes, error %v", count, err)
	return newAnswer(int64(len(text)), strings.NewReader(text)), nil
}

// TestLongBodyOfLastRequest sends a body that is passed on while it is read, or only once
// the caller has been told to send it, in the last request of its connection. The
// connection read and discarded parts of it.
func TestLongBodyOfLastRequest(t *testing.T) {
	const part, parts = 10_000, 20
	for name, head := range map[string]string{
		"Connection: close": "POST /s/ledger/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n",
		"HTTP/1.0":          "POST /s/ledger/1 HTTP/1.0\r\nHost: a\r\n",
		"Expect":            "POST /s/ledger/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\nExpect: 100-continue\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixtureWith(t, patientLimits, func(acceptor *Acceptor) {
				acceptor.dispatcher = &readingDispatcher{heldDispatcher: newHeldDispatcher()}
			})
			_ = fixture.conn.SetDeadline(time.Now().Add(3 * time.Second))
			fixture.send(t, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, part*parts))
			if name == "Expect" {
				if response, err := http.ReadResponse(fixture.reader, nil); err != nil || response.StatusCode != http.StatusContinue {
					t.Fatal(response, err)
				}
			}
			for range parts {
				fixture.send(t, strings.Repeat("x", part))
				time.Sleep(5 * time.Millisecond)
			}
			fixture.expect(t, http.MethodPost, http.StatusOK, fmt.Sprintf("%d bytes, error <nil>", part*parts), true)
		})
	}
}

// TestBytesBehindLastRequest has an endpoint work for longer than maxLingerTime on the last
// request of a connection, while its caller sends more. The limit on the wait for the
// caller cut the request.
func TestBytesBehindLastRequest(t *testing.T) {
	for name, texts := range map[string][]string{
		"Connection: close": {"GET /s/ledger/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"},
		"malformed request": {get("/1"), "GET /2 HTTP/1.1\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fixture := newFixture(t, patientLimits)
			fixture.send(t, texts...)
			fixture.awaitStart(t, "/1")
			for start := time.Now(); time.Since(start) < maxLingerTime+500*time.Millisecond; time.Sleep(100 * time.Millisecond) {
				if _, err := io.WriteString(fixture.conn, "x"); err != nil {
					t.Fatalf("cut after %v: %v", time.Since(start), err)
				}
			}
			fixture.answer("/1")
			fixture.expect(t, http.MethodGet, http.StatusOK, "/1", len(texts) == 1)
		})
	}
}

// TestRequestBehindRefusedBody sends a request behind one that is refused although its body
// is at hand. The refused one's connection closed, and the request behind it, which had
// arrived before, was read and discarded.
func TestRequestBehindRefusedBody(t *testing.T) {
	for _, stopping := range []bool{false, true} {
		for _, size := range []int{3, 200_000} {
			fixture := newFixtureWith(t, patientLimits, func(acceptor *Acceptor) {
				if stopping {
					acceptor.SetStopper(begunStop(time.Minute))
				}
			})
			fixture.send(t, get("/1"))
			fixture.awaitStart(t, "/1")
			fixture.refuse(refuser.New(refuser.KindLeaving, refuser.NotRun, "the host leaves"))
			fixture.send(t, post("/2", strings.Repeat("x", size)), get("/3"))
			time.Sleep(50 * time.Millisecond)
			fixture.answer("/1")
			fixture.expect(t, http.MethodGet, http.StatusOK, "/1", false)
			fixture.expect(t, http.MethodPost, http.StatusServiceUnavailable, string(refuser.KindLeaving), false)
			fixture.expect(t, http.MethodGet, http.StatusServiceUnavailable, string(refuser.KindLeaving), stopping)
		}
	}
}
