// Package presenter represents the answer to an operator's statement as a table,
// which package administrator fills and package commander formats as text or JSON.
// It does no I/O and starts no goroutines.
package presenter

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// Answer is a table with a note.
type Answer struct {
	// Columns are the names of the columns, in kebab case because they are the keys
	// of the JSON output.
	Columns []string `json:"columns,omitempty"`
	// Rows have one value for each column.
	Rows [][]string `json:"rows,omitempty"`
	// Note is a sentence about the answer as a whole; it may be empty.
	Note string `json:"note,omitempty"`
}

// New returns an answer without rows.
func New(columns ...string) *Answer { return &Answer{Columns: columns} }

// NewNote returns an answer that consists of a note.
func NewNote(note string) *Answer { return &Answer{Note: note} }

// Add appends a row and returns answer.
func (answer *Answer) Add(values ...string) *Answer {
	answer.Rows = append(answer.Rows, values)
	return answer
}

// Text returns the answer as an aligned table with the note below it.
func (answer *Answer) Text() string {
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	if len(answer.Columns) > 0 {
		header := strings.ToUpper(strings.Join(answer.Columns, "\t"))
		_, _ = fmt.Fprintln(writer, strings.ReplaceAll(header, "-", " "))
	}
	for _, row := range answer.Rows {
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	_ = writer.Flush()
	if answer.Note != "" {
		text.WriteString(answer.Note + "\n")
	}
	return trimLines(text.String())
}

// trimLines removes the trailing spaces that tabwriter leaves on lines.
func trimLines(text string) string {
	lines := strings.Split(text, "\n")
	for index := range lines {
		lines[index] = strings.TrimRight(lines[index], " ")
	}
	return strings.Join(lines, "\n")
}

// document is the JSON form of an answer.
type document struct {
	Rows []map[string]string `json:"rows"`
	Note string              `json:"note,omitempty"`
}

// JSON returns the answer as JSON, with an object for each row whose keys are the
// columns.
func (answer *Answer) JSON() (string, error) {
	document := document{Rows: []map[string]string{}, Note: answer.Note}
	for _, row := range answer.Rows {
		object := make(map[string]string, len(row))
		for index, value := range row {
			object[answer.Columns[index]] = value
		}
		document.Rows = append(document.Rows, object)
	}
	data, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return "", fmt.Errorf("encode the answer: %w", err)
	}
	return string(data) + "\n", nil
}
