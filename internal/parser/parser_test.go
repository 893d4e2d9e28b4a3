package parser

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/chivespool/chivespool/internal/definer"
)

func TestLanguage(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "parse":
				return parse(data.Input)
			case "complete":
				// A bar marks the end of the text, so that trailing spaces are kept.
				text := strings.TrimSuffix(data.Input, "|")
				return strings.Join(Complete(text, fakeNames{}), " ") + "\n"
			}
			data.Fatalf(t, "unknown command %s", data.Cmd)
			return ""
		})
	})
}

// fakeNames lists one name of each kind.
type fakeNames struct{}

func (fakeNames) List(value string) []string { return []string{"a-" + strings.ToLower(value)} }

func parse(text string) string {
	statements, err := Parse(text)
	var syntaxError *SyntaxError
	if errors.As(err, &syntaxError) {
		return syntaxError.Excerpt() + "\n"
	}
	var output strings.Builder
	for _, statement := range statements {
		fmt.Fprintf(&output, "%T %s\n", statement.Body(), statement.Text())
		if propose, ok := statement.Body().(Propose); ok {
			output.WriteString(resolveEdits(propose))
		}
	}
	return output.String()
}

// resolveEdits prints the changes that a proposal makes to a configuration with
// one object of each kind.
func resolveEdits(propose Propose) string {
	endpoint := definer.NewEndpoint("e", "p", "10.0.0.1:80", definer.NewPlace("coast", "c1"), 4)
	configuration := new(definer.Configuration).WithPool("p").WithService(definer.NewService("s", "p")).
		WithEndpoint(endpoint.WithDrained(true)).WithRule(definer.NewRule("r", "s", "GET", "/a"))
	var output strings.Builder
	for _, edit := range propose.Edits() {
		change, err := edit.Change(configuration)
		if err != nil {
			fmt.Fprintf(&output, "  %v\n", err)
			continue
		}
		fmt.Fprintf(&output, "  %s %+v%+v%+v\n", change, change.Service(), change.Endpoint(), change.Rule())
	}
	return output.String()
}

// FuzzParse checks that parsing does not panic, that the text of each parsed
// statement parses to the same type, and that errors give a line in the text.
func FuzzParse(f *testing.F) {
	for _, form := range Forms("") {
		f.Add(form.String())
	}
	f.Add("propose create pool p, drain endpoint \"e 1\" against 12; status # c\n\n;vote yes on x")
	f.Add("\"\n\xff, ;")
	f.Fuzz(func(t *testing.T, text string) {
		statements, err := Parse(text)
		var syntaxError *SyntaxError
		if errors.As(err, &syntaxError) {
			_ = syntaxError.Excerpt()
			if syntaxError.Line() < 1 || syntaxError.Line() > 1+strings.Count(text, "\n") {
				t.Fatalf("error at line %d, outside of %q", syntaxError.Line(), text)
			}
		} else if err != nil {
			t.Fatalf("error has type %T, want *SyntaxError", err)
		}
		for _, statement := range statements {
			again, err := ParseOne(statement.Text())
			if err != nil || fmt.Sprintf("%T", again.Body()) != fmt.Sprintf("%T", statement.Body()) {
				t.Fatalf("text %q of a parsed statement parses as %T: %v", statement.Text(), again.Body(), err)
			}
		}
		_ = Complete(text, nil)
	})
}
