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

// shellSession runs command lines of an operator's shell against an entry host on
// loopback, which uses the stand-in of the store.
type shellSession struct {
	directory string
	replacer  *strings.Replacer
}

func newShellSession(t *testing.T) *shellSession {
	t.Helper()
	directory := t.TempDir()
	key := filepath.Join(directory, "anna.key")
	keyText, err := signer.WriteKey(key)
	if err != nil {
		t.Fatal(err)
	}
	bootstrap, err := signer.ParsePublicKey(keyText)
	if err != nil {
		t.Fatal(err)
	}
	platform := httptest.NewServer(new(emulator.Store).Handler())
	t.Cleanup(platform.Close)
	store := connector.NewStore(platform.URL)
	recorder := new(recorder.Recorder)
	follower := follower.New(store, nil, recorder)
	api := administrator.New(follower, submitter.New(store, follower, bootstrap),
		administrator.WithBootstrapKey(bootstrap), administrator.WithTimeLine(recorder))
	echo := echo.New()
	api.Register(echo.Group(""))
	entry := httptest.NewServer(echo)
	t.Cleanup(entry.Close)
	stoppedEntry := httptest.NewServer(echo)
	stoppedEntry.Close()
	return &shellSession{directory: directory, replacer: strings.NewReplacer(
		"ENTRY", "--entry "+strings.TrimPrefix(entry.URL, "http://"),
		"GONE", "--entry "+strings.TrimPrefix(stoppedEntry.URL, "http://"),
		"ANNA", "--operator anna --key "+key,
		"DIR", directory,
	)}
}

var (
	randomID  = regexp.MustCompile(`\b[a-z2-7]{16}\b *`)
	timestamp = regexp.MustCompile(`20\d\d-\d\d-\d\dT[0-9:.]+Z`)
	publicKey = regexp.MustCompile(`[A-Za-z0-9+/]{43}=`)
	address   = regexp.MustCompile(`127\.0\.0\.1:\d+`)
)

// run executes one command line. It masks output that differs between runs.
func (shellSession *shellSession) run(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	line, input, _ := strings.Cut(data.Input, "\n")
	arguments := strings.Fields(shellSession.replacer.Replace(line))
	var output strings.Builder
	if err := New(strings.NewReader(input), &output).Run(t.Context(), arguments); err != nil {
		output.WriteString("error: " + err.Error() + "\n")
	}
	text := strings.ReplaceAll(output.String(), shellSession.directory, "DIR")
	text = publicKey.ReplaceAllString(text, "PUBLIC-KEY")
	text = timestamp.ReplaceAllString(text, "TIME")
	text = address.ReplaceAllString(text, "ADDRESS")
	return randomID.ReplaceAllString(text, "ID ")
}

func TestChivesctl(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, newShellSession(t).run)
	})
}
