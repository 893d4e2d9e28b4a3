package parser

import (
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"
)

// SyntaxError locates the invalid word of a text and names a remedy.
type SyntaxError struct {
	// line is the complete line of the text that contains the word.
	line string
	// number is the number of the line, and column that of the character in it;
	// both count from 1.
	number int
	column int
	// word is empty if input is missing at this position.
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

// Column returns the position of the word in its line, in characters from 1.
func (syntaxError *SyntaxError) Column() int { return syntaxError.column }

// Error returns the position, the word, the detail and the remedy in one line.
func (syntaxError *SyntaxError) Error() string {
	place := fmt.Sprintf("line %d, column %d", syntaxError.number, syntaxError.column)
	if syntaxError.word != "" {
		place += fmt.Sprintf(", %q", syntaxError.word)
	}
	return fmt.Sprintf("%s: %s; %s", place, syntaxError.detail, syntaxError.remedy)
}

// Excerpt returns the line with carets under the word, followed by the detail
// and the remedy.
func (syntaxError *SyntaxError) Excerpt() string {
	width := max(1, utf8.RuneCountInString(syntaxError.word))
	carets := strings.Repeat(" ", syntaxError.column-1) + strings.Repeat("^", width)
	return fmt.Sprintf("%s\n%s\n%s; %s", syntaxError.line, carets, syntaxError.detail, syntaxError.remedy)
}

// remedyFor suggests words that are valid after before, in place of found.
func remedyFor(before, found string) string {
	expected := Complete(before, nil)
	if len(expected) == 0 {
		return "end the statement here"
	}
	if near, ok := closest(found, expected); ok {
		return fmt.Sprintf("did you mean %q?", near)
	}
	return "write " + joinAlternatives(expected)
}

func joinAlternatives(words []string) string {
	if len(words) == 1 {
		return words[0]
	}
	last := len(words) - 1
	return strings.Join(words[:last], ", ") + " or " + words[last]
}

// closest returns the word with the smallest edit distance to found, if that is
// at most maxDistance.
func closest(found string, words []string) (string, bool) {
	const maxDistance = 2
	if found == "" {
		return "", false
	}
	best, bestDistance := "", maxDistance+1
	for _, candidate := range words {
		if distance := levenshtein(found, candidate); distance < bestDistance && distance < len(candidate) {
			best, bestDistance = candidate, distance
		}
	}
	return best, best != ""
}

// levenshtein returns the number of bytes to insert, delete or replace to turn
// left into right.
func levenshtein(left, right string) int {
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
