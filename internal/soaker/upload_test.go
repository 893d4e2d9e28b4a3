package soaker

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/platform"
)

// TestUploadIsUnchanged checks that the body of a request arrives unchanged and over
// the given time, however it is divided.
func TestUploadIsUnchanged(t *testing.T) {
	body := strings.Repeat("word ", 100)
	for _, upload := range []upload{
		{parts: 1},
		{parts: 1, chunks: 3},
		{parts: 4, headTime: time.Second, bodyTime: 3 * time.Second},
		{parts: 4, chunks: 5, headTime: time.Second, bodyTime: 3 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			begun := time.Now()
			near, far := net.Pipe()
			defer func() { _ = near.Close() }()
			sender := &uploadSender{t: t, upload: upload, conn: far, body: body}
			go sender.run()
			request, err := http.ReadRequest(bufio.NewReader(near))
			if err != nil {
				t.Fatal(err)
			}
			received, err := io.ReadAll(request.Body)
			if err != nil || string(received) != body {
				t.Errorf("%+v: got %d bytes, %v", upload, len(received), err)
			}
			if chunked := request.ContentLength < 0; chunked != (upload.chunks > 0) {
				t.Errorf("%+v: sent in chunks: %v", upload, chunked)
			}
			if took, want := time.Since(begun), upload.headTime+upload.bodyTime; took.Round(time.Millisecond) != want {
				t.Errorf("%+v took %v, want %v", upload, took, want)
			}
		})
	}
}

// uploadSender sends one request.
type uploadSender struct {
	t      *testing.T
	upload upload
	conn   net.Conn
	body   string
}

func (uploadSender *uploadSender) run() {
	defer func() { _ = uploadSender.conn.Close() }()
	request, err := platform.NewClientRequest("1", http.MethodPost, hostName, "/once/1", []byte(uploadSender.body), time.Second)
	if err == nil {
		err = uploadSender.upload.write(uploadSender.conn, uploadSender, request, uploadSender.body)
	}
	if err != nil {
		uploadSender.t.Error(err)
	}
}

func (uploadSender *uploadSender) pause(duration time.Duration) error {
	time.Sleep(duration)
	return nil
}

// TestWorkOfTarget checks that an endpoint does the work that a target asks for.
func TestWorkOfTarget(t *testing.T) {
	for _, target := range []string{"/once/1", "/many/1?page=2"} {
		for _, work := range []work{{}, {duration: 3 * time.Second}, {duration: 1500 * time.Millisecond, parts: 4}} {
			if got := workOf(work.addTo(target)); got != work {
				t.Errorf("%s: got %v, want %v", target, got, work)
			}
		}
	}
}

// TestWorkIsRecorded checks that the answer of an endpoint in parts is complete, and
// that its run lasts as long as its work.
func TestWorkIsRecorded(t *testing.T) {
	journal := &journal{}
	stub, err := newStub("e", onceService, dataCentreName, journal)
	if err != nil {
		t.Fatal(err)
	}
	defer stub.close()
	const duration = 200 * time.Millisecond
	for _, work := range []work{{duration: duration}, {duration: duration, parts: 1}, {duration: duration, parts: 4}} {
		conn, err := net.Dial("tcp", stub.address())
		if err != nil {
			t.Fatal(err)
		}
		request, err := platform.NewClientRequest("1", http.MethodGet, hostName, work.addTo("/once/1"), nil, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		if err := request.Write(conn); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || string(body) != string(answerBody("1", "e")) {
			t.Errorf("%v: got %d bytes, %v", work, len(body), err)
		}
		if chunked := response.ContentLength < 0; chunked != (work.parts > 0) {
			t.Errorf("%v: answered in chunks: %v", work, chunked)
		}
		_ = conn.Close()
	}
	journal.close()
	for _, run := range journal.runs {
		if lasted := run.ended.Sub(run.at); lasted < duration*9/10 {
			t.Errorf("a run of %s lasted %v, want %v", run.target, lasted, duration)
		}
	}
}
