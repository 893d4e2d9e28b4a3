package loader

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestSettingsFiles parses settings files and compares the complete reports.
func TestSettingsFiles(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(_ *testing.T, data *datadriven.TestData) string {
		settings, err := Parse("host.ini", []byte(data.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return settings.Name() + " at " + settings.Place().String() + ", " + settings.Policy() + "\n"
	})
}

func TestPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil || string(page) != SettingsPage() {
		t.Fatalf("docs/SETTINGS.md is out of date; run: go run ./cmd/chivespoold settings-page >docs/SETTINGS.md (%v)", err)
	}
}

func TestDefaultsAreValid(t *testing.T) {
	for _, setting := range table {
		if setting.defaultValue == "" {
			continue
		}
		if err := setting.set(&Settings{}, setting.defaultValue); err != nil {
			t.Errorf("[%s] %s: default %q is refused", setting.section, setting.key, setting.defaultValue)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add("[host]\nname = a\n")
	f.Add("[host\n=\n;;")
	f.Add("[claims]\nmost = 1e9\nmost = 5\n[DEFAULT]\nx=%(x)s")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Parse("fuzz.ini", []byte(text))
		var report *Report
		if errors.As(err, &report) && (len(report.Problems()) == 0 || !strings.Contains(err.Error(), "fuzz.ini")) {
			t.Fatalf("report without problems or file: %v", err)
		}
	})
}
