package commander

import (
	"net/http/httptest"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/labstack/echo/v4"

	"github.com/chivespool/chivespool/internal/administrator"
	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/internal/follower"
	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/signer"
	"github.com/chivespool/chivespool/internal/submitter"
)

// session is an entry host over loopback with the stand-in of the store, and
// an operator's shell.
type ctlSession struct {
	directory string
	replacer  *strings.Replacer
}

func newCtlSession(t *testing.T) *ctlSession {
	t.Helper()
	directory := t.TempDir()
	key := filepath.Join(directory, "anna.key")
	public, err := signer.WriteKey(key)
	if err != nil {
		t.Fatal(err)
	}
	bootstrap, err := signer.ParsePublicKey(public)
	if err != nil {
		t.Fatal(err)
	}
	platform := httptest.NewServer(new(emulator.Store).Handler())
	t.Cleanup(platform.Close)
	store := connector.NewStore(platform.URL)
	recorder := new(recorder.Recorder)
	follower := follower.New(store, nil, recorder)
	front := administrator.New(follower, submitter.New(store, follower, bootstrap),
		administrator.WithBootstrapKey(bootstrap), administrator.WithTimeLine(recorder))
	echo := echo.New()
	front.Register(echo.Group(""))
	entry := httptest.NewServer(echo)
	t.Cleanup(entry.Close)
	gone := httptest.NewServer(echo)
	gone.Close()
	return &ctlSession{directory: directory, replacer: strings.NewReplacer(
		"ENTRY", "--entry "+strings.TrimPrefix(entry.URL, "http://"),
		"GONE", "--entry "+strings.TrimPrefix(gone.URL, "http://"),
		"ANNA", "--operator anna --key "+key,
		"DIR", directory,
	)}
}

var (
	randomID = regexp.MustCompile(`\b[a-z2-7]{16}\b *`)
	moment   = regexp.MustCompile(`20\d\d-\d\d-\d\dT[0-9:.]+Z`)
	publicID = regexp.MustCompile(`[A-Za-z0-9+/]{43}=`)
	address  = regexp.MustCompile(`127\.0\.0\.1:\d+`)
)

// run is one line of a shell; what differs from run to run is masked.
func (ctlSession *ctlSession) run(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	line, input, _ := strings.Cut(data.Input, "\n")
	arguments := strings.Fields(ctlSession.replacer.Replace(line))
	var output strings.Builder
	if err := New(strings.NewReader(input), &output).Run(t.Context(), arguments); err != nil {
		output.WriteString("error: " + err.Error() + "\n")
	}
	text := strings.ReplaceAll(output.String(), ctlSession.directory, "DIR")
	text = publicID.ReplaceAllString(text, "PUBLIC-KEY")
	text = moment.ReplaceAllString(text, "TIME")
	text = address.ReplaceAllString(text, "ADDRESS")
	return randomID.ReplaceAllString(text, "ID ")
}

func TestChivesctl(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, newCtlSession(t).run)
	})
}
