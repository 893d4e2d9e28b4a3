package soaker

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedServer reads requests from a connection, and then sends text and closes it.
type scriptedServer struct {
	conn net.Conn
	// requests is the number of requests that it reads completely; with 0, it answers
	// the first bytes.
	requests int
	text     string
}

func (scriptedServer *scriptedServer) run() {
	reader := bufio.NewReader(scriptedServer.conn)
	_, _ = reader.Peek(1)
	for range scriptedServer.requests {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
	}
	drainer := &drainer{conn: scriptedServer.conn}
	go drainer.run()
	_, _ = io.WriteString(scriptedServer.conn, scriptedServer.text)
	_ = scriptedServer.conn.Close()
}

// drainer discards what arrives on a connection.
type drainer struct{ conn net.Conn }

func (drainer *drainer) run() { _, _ = io.Copy(io.Discard, drainer.conn) }

// outcome is what a caller has recorded of a request.
type outcome struct {
	status             int
	sent, brokenBehind bool
}

// TestCallerRecordsPipeline checks what a caller records of two requests that it sends
// without waiting for the first answer.
func TestCallerRecordsPipeline(t *testing.T) {
	const whole, last = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
	for name, test := range map[string]struct {
		requests      int
		text          string
		first, second outcome
	}{
		"both answered":       {2, whole + whole, outcome{status: 200, sent: true}, outcome{status: 200, sent: true}},
		"closed unanswered":   {2, "", outcome{sent: true}, outcome{sent: true}},
		"end announced":       {2, last, outcome{status: 200, sent: true}, outcome{sent: true}},
		"first answer broken": {2, whole[:len(whole)-1], outcome{sent: true}, outcome{sent: true, brokenBehind: true}},
		"refused early":       {0, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", outcome{status: 503}, outcome{}},
	} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			// With this seed, the first head is sent in parts.
			caller := &caller{
				soaker: &Soaker{journal: &journal{}}, random: rand.New(rand.NewPCG(3, 1)), slow: true,
				gateway: &gateway{name: "g0"}, conn: near, reader: bufio.NewReader(near), limit: time.Now().Add(time.Minute),
			}
			server := &scriptedServer{conn: far, requests: test.requests, text: test.text}
			go server.run()
			for range 2 {
				if !caller.write(caller.nextRequest(time.Minute)) {
					break
				}
			}
			for len(caller.due) > 0 {
				caller.readAnswer()
			}
			var found [2]outcome
			for index, request := range caller.soaker.journal.requests {
				found[index] = outcome{status: request.status, sent: !request.sent.IsZero(), brokenBehind: request.brokenBehind}
			}
			if found != [2]outcome{test.first, test.second} {
				t.Errorf("%s: got %+v", name, found)
			}
			synctest.Wait()
		})
	}
}
