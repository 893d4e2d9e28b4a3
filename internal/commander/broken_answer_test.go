package commander

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/chivespool/chivespool/internal/presenter"
)

// TestBrokenAnswers checks that commands report an answer that is truncated, or whose status
// is none, as an error.
func TestBrokenAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"no length, truncated": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + `{"host":"nbo-a-1","hosts":14`,
		"no length, none":      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"length, truncated":    "HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\n" + `{"host":"nbo-a-1","hosts":14`,
		"chunks, truncated":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1c\r\n" + `{"host":"nbo-a-1","hosts":14`,
		"status 000":           "HTTP/1.1 000 Odd\r\nContent-Length: 18\r\n\r\n" + `{"host":"nbo-a-1"}`,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				conn, _, err := writer.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(conn, text)
				_ = conn.Close()
			}))
			defer server.Close()
			var answer presenter.Answer
			if err := new(client).call(t.Context(), http.MethodGet, server.URL, nil, "", &answer); err == nil {
				t.Error("the client accepts the answer")
			}
			var output bytes.Buffer
			arguments := []string{"chivesctl", "beliefs", "--gateway", strings.TrimPrefix(server.URL, "http://")}
			if err := New(strings.NewReader(""), &output).Run(t.Context(), arguments); err != nil {
				t.Fatal(err)
			}
			shown := output.String()
			if strings.Contains(shown, "nbo-a-1") || !strings.Contains(shown, "decode the answer") && !strings.Contains(shown, "answered 000") {
				t.Errorf("the row of the gateway shows no error:\n%s", shown)
			}
		})
	}
}
