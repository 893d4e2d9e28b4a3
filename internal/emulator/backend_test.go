package emulator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/datadriven"
)

// TestBackend runs scripted sessions in virtual time. Each line of a command
// "run" is one request: its arrival time, then its headers as name=value.
func TestBackend(t *testing.T) {
	datadriven.Walk(t, "testdata/backend", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			backend := NewBackend("tile-1", DefaultBackendSettings())
			backend.begin(func() {})
			var backendGroup BackendGroup
			backendGroup.Add(backend)
			datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
				t.Helper()
				return runBackendCommand(t, &backendGroup, backend, data)
			})
		})
	})
}

func runBackendCommand(t *testing.T, backendGroup *BackendGroup, backend *Backend, data *datadriven.TestData) string {
	t.Helper()
	switch data.Cmd {
	case "change":
		return call(backendGroup.Handler(), http.MethodPut, "/endpoints/tile-1", data.Input, nil).Result().Status
	case "journal":
		return call(backendGroup.Handler(), http.MethodGet, "/journal?repeated=true", "", nil).Body.String()
	case "health":
		return call(backend.Handler(), http.MethodGet, "/health", "", nil).Body.String()
	case "run":
		return runRequests(backend.Handler(), strings.Split(data.Input, "\n"))
	}
	t.Fatalf("unknown command %s", data.Cmd)
	return ""
}

func call(handler http.Handler, method, path, body string, header http.Header) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header = header
	if header == nil {
		request.Header = http.Header{"Content-Type": {"application/json"}}
	}
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, request)
	return response
}

// runRequests sends the request of each line at its time and formats the answers.
func runRequests(handler http.Handler, lines []string) string {
	start := time.Now()
	shown := make([]string, len(lines))
	var group sync.WaitGroup
	for index, line := range lines {
		group.Go(func() { shown[index] = runRequest(handler, line, start) })
	}
	group.Wait()
	return strings.Join(shown, "\n")
}

func runRequest(handler http.Handler, line string, start time.Time) string {
	fields := strings.Fields(line)
	at, err := time.ParseDuration(fields[0])
	if err != nil {
		return err.Error()
	}
	header := make(http.Header)
	for _, field := range fields[1:] {
		name, value, _ := strings.Cut(field, "=")
		header.Set(name, value)
	}
	time.Sleep(at)
	response := call(handler, http.MethodPost, "/any", "body", header)
	got := response.Result().Header
	id := header.Get(headerID)
	size, _ := strconv.ParseInt(header.Get(headerBytes), 10, 64)
	text := fmt.Sprintf("%v %s: %d ran=%q state=%q %s", time.Since(start), id,
		response.Code, got.Get(headerRan), got.Get(headerState), got.Get(headerLoad))
	if response.Code == http.StatusOK {
		verdict, _ := Check(NewAnswer(id, size, xxhash.Sum64String("body")), response.Body)
		text += " " + verdict.String()
	}
	return text
}

func TestCheckDetectsDamage(t *testing.T) {
	const size = answerChunkBytes + 5
	var complete bytes.Buffer
	_, _ = complete.ReadFrom(NewAnswer("a", size, 7))
	flipped := bytes.Clone(complete.Bytes())
	flipped[size/2] ^= 1
	other, _ := new(bytes.Buffer), 0
	_, _ = other.ReadFrom(NewAnswer("b", size, 7))
	for want, body := range map[Verdict][]byte{
		Complete:   complete.Bytes(),
		Truncated:  complete.Bytes()[:complete.Len()-1],
		Duplicated: bytes.Repeat(complete.Bytes(), 2),
		Mismatched: flipped,
	} {
		if got, err := Check(NewAnswer("a", size, 7), bytes.NewReader(body)); got != want || err != nil {
			t.Errorf("got %v, %v; want %v", got, err, want)
		}
	}
	if got, _ := Check(NewAnswer("a", size, 7), other); got != Mismatched {
		t.Errorf("answer to another request: got verdict %v", got)
	}
}

// TestCrashBreaksConnections checks that a request that crashes its endpoint gets
// no answer and remains in the journal as started, not finished.
func TestCrashBreaksConnections(t *testing.T) {
	backend := NewBackend("tile-1", DefaultBackendSettings())
	server := httptest.NewServer(backend.Handler())
	defer server.Close()
	backend.begin(server.CloseClientConnections)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, bufio.NewReader(strings.NewReader("x")))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(headerKind, kindCrash)
	request.Header.Set(headerID, "deadly")
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
		t.Fatalf("got answer %s, want a closed connection", response.Status)
	}
	runs := make(map[string]Runs)
	backend.journal.addTo(runs)
	if got := runs["deadly"]; got != (Runs{Started: 1}) {
		text, _ := json.Marshal(runs)
		t.Fatalf("journal: %s", text)
	}
}

func TestJournalIsRestoredFromItsCopy(t *testing.T) {
	var kept bytes.Buffer
	var first Journal
	first.CopyTo(&kept)
	first.start("a")
	first.start("b")
	first.finish("b")
	var second Journal
	if err := second.Restore(&kept); err != nil {
		t.Fatal(err)
	}
	second.start("a")
	runs := make(map[string]Runs)
	second.addTo(runs)
	if runs["a"] != (Runs{Started: 2}) || runs["b"] != (Runs{Started: 1, Finished: 1}) {
		t.Fatalf("got %v", runs)
	}
}
