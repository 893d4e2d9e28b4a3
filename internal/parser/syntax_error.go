package parser

import (
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"
)

// SyntaxError says which word of a text is at fault and what would mend it.
type SyntaxError struct {
	// line is the whole line of the text in which the word stands.
	line string
	// number counts lines from 1 and column characters from 1.
	number int
	column int
	// word is empty where something is missing at the place.
	word   string
	detail string
	remedy string
}

func newSyntaxError(text string, position lexer.Position, word, detail, remedy string) *SyntaxError {
	lines := strings.Split(text, "\n")
	number := min(max(position.Line, 1), len(lines))
	return &SyntaxError{
		line: lines[number-1], number: number, column: max(position.Column, 1),
		word: word, detail: detail, remedy: remedy,
	}
}

// Line returns the number of the line, from 1.
func (syntaxError *SyntaxError) Line() int { return syntaxError.number }

// Column returns the place of the word in its line, in characters from 1.
func (syntaxError *SyntaxError) Column() int { return syntaxError.column }

// Error names the place, the word and the remedy, in one line.
func (syntaxError *SyntaxError) Error() string {
	place := fmt.Sprintf("line %d, column %d", syntaxError.number, syntaxError.column)
	if syntaxError.word != "" {
		place += fmt.Sprintf(", %q", syntaxError.word)
	}
	return fmt.Sprintf("%s: %s; %s", place, syntaxError.detail, syntaxError.remedy)
}

// Picture returns the line with a mark under the word, and below it what is
// wrong and the remedy.
func (syntaxError *SyntaxError) Picture() string {
	width := max(1, utf8.RuneCountInString(syntaxError.word))
	mark := strings.Repeat(" ", syntaxError.column-1) + strings.Repeat("^", width)
	return fmt.Sprintf("%s\n%s\n%s; %s", syntaxError.line, mark, syntaxError.detail, syntaxError.remedy)
}

// remedyFor says what may stand after before, in place of found.
func remedyFor(before, found string) string {
	expected := Complete(before, nil)
	if len(expected) == 0 {
		return "end the statement here"
	}
	if near, ok := nearest(found, expected); ok {
		return fmt.Sprintf("did you mean %q?", near)
	}
	return "write " + oneOf(expected)
}

func oneOf(words []string) string {
	if len(words) == 1 {
		return words[0]
	}
	last := len(words) - 1
	return strings.Join(words[:last], ", ") + " or " + words[last]
}

// nearest returns the one of words that found is most likely a slip of.
func nearest(found string, words []string) (string, bool) {
	const mostSlips = 2
	if found == "" {
		return "", false
	}
	best, least := "", mostSlips+1
	for _, candidate := range words {
		if slips := distance(found, candidate); slips < least && slips < len(candidate) {
			best, least = candidate, slips
		}
	}
	return best, best != ""
}

// distance is Levenshtein's: how many letters to add, drop or replace.
func distance(left, right string) int {
	row := make([]int, len(right)+1)
	for index := range row {
		row[index] = index
	}
	for index := range len(left) {
		diagonal := row[0]
		row[0] = index + 1
		for other := range len(right) {
			cost := 1
			if left[index] == right[other] {
				cost = 0
			}
			next := slices.Min([]int{row[other] + 1, row[other+1] + 1, diagonal + cost})
			diagonal, row[other+1] = row[other+1], next
		}
	}
	return row[len(right)]
}
