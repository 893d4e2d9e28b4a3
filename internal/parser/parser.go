// Package parser parses the operators' query and command language, described in
// docs/LANGUAGE.md. Package administrator parses statements on an entry host,
// package commander in chivesctl.
//
// The package converts text to typed [Statement] values, and provides help,
// completion, and errors that mark the invalid word and name the remedy. It does
// no I/O, starts no goroutines and reads no clock.
//
// The grammar is written for participle. A separate table of [Form] values lists
// the valid word sequences for help, completion and remedies.
package parser

import (
	"errors"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// MaxBytes is the maximum length of the text of one Parse.
const MaxBytes = 64 << 10

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"[^"\n]*"`},
	{Name: "Word", Pattern: `[^\s,;#"]+`},
	{Name: "Comma", Pattern: `,`},
	{Name: "End", Pattern: `[\n;]+`},
	{Name: "comment", Pattern: `#[^\n]*`},
	{Name: "space", Pattern: `[ \t\r\f\v]+`},
})

var grammar = participle.MustBuild[scriptNode](
	participle.Lexer(tokens),
	participle.Unquote("String"),
	participle.UseLookahead(2),
)

// scriptNode is one or more statements.
type scriptNode struct {
	Statements []*statementNode `parser:"End* ( @@ ( End+ @@ )* )? End*"`
}

type statementNode struct {
	Pos    lexer.Position `parser:""`
	EndPos lexer.Position `parser:""`

	Status   bool          `parser:"(  @'status'"`
	Names    bool          `parser:" | @'names'"`
	Help     *helpNode     `parser:" | @@"`
	Show     *showNode     `parser:" | 'show' @@"`
	Where    *whereNode    `parser:" | 'where' @@"`
	Why      *word         `parser:" | 'why' @@"`
	TimeLine *timeLineNode `parser:" | @@"`
	Outcome  *word         `parser:" | 'outcome' @@"`
	Vote     *voteNode     `parser:" | 'vote' @@"`
	Withdraw *word         `parser:" | 'withdraw' @@"`
	Rule     *ruleNode     `parser:" | 'rule' @@"`
	Propose  *proposeNode  `parser:" | @@ )"`
}

// word is one word or string with its position.
type word struct {
	Pos  lexer.Position `parser:""`
	Text string         `parser:"@(Word|String)"`
}

type helpNode struct {
	Help  string   `parser:"@'help'"`
	Words []string `parser:"@Word*"`
}

type showNode struct {
	Subject *word `parser:"@@"`
	Name    *word `parser:"@@?"`
}

type whereNode struct {
	Service *word `parser:"@@"`
	Region  *word `parser:"'from' @@"`
}

type timeLineNode struct {
	TimeLine string `parser:"@'time-line'"`
	Since    *word  `parser:"( 'since' @@ )?"`
}

type voteNode struct {
	Vote     string `parser:"@('yes'|'no')"`
	Proposal *word  `parser:"'on' @@"`
}

type ruleNode struct {
	Ruling   string `parser:"@('for'|'against')"`
	Proposal *word  `parser:"@@"`
}

type proposeNode struct {
	Edits   []*editNode `parser:"'propose'? @@ ( Comma @@ )*"`
	Against *word       `parser:"( 'against' @@ )?"`
}

type editNode struct {
	Pos     lexer.Position `parser:""`
	Create  *defineNode    `parser:"  'create' @@"`
	Alter   *defineNode    `parser:"| 'alter' @@"`
	Remove  *objectNode    `parser:"| 'remove' @@"`
	Drain   *word          `parser:"| 'drain' 'endpoint' @@"`
	Restore *word          `parser:"| 'restore' 'endpoint' @@"`
	Chair   *word          `parser:"| 'chair' @@"`
}

type objectNode struct {
	Kind string `parser:"@('service'|'pool'|'endpoint'|'rule'|'member')"`
	Name *word  `parser:"@@"`
}

type defineNode struct {
	Object     objectNode       `parser:"@@"`
	Attributes []*attributeNode `parser:"@@*"`
}

type attributeNode struct {
	Name  *word `parser:"(?! 'against') @@"`
	Value *word `parser:"@@"`
}

// Parse parses a script: statements separated by newlines or semicolons. On
// failure it returns a [SyntaxError] and no statements.
func Parse(text string) ([]Statement, error) {
	if len(text) > MaxBytes {
		return nil, newSyntaxError(text, lexer.Position{Line: 1, Column: 1}, "", "the text is too long", "split it into several scripts")
	}
	script, err := grammar.ParseString("", text)
	if err != nil {
		return nil, convertError(text, err)
	}
	statements := make([]Statement, 0, len(script.Statements))
	for _, node := range script.Statements {
		statement, err := node.statement(text)
		if err != nil {
			return nil, err
		}
		statements = append(statements, statement)
	}
	return statements, nil
}

// ParseOne parses exactly one statement.
func ParseOne(text string) (Statement, error) {
	statements, err := Parse(text)
	if err != nil {
		return Statement{}, err
	}
	if len(statements) != 1 {
		start := lexer.Position{Line: 1, Column: 1}
		return Statement{}, newSyntaxError(text, start, "", "one statement is needed", "write a statement, such as: status")
	}
	return statements[0], nil
}

// convertError converts a participle error to a SyntaxError that suggests valid
// words.
func convertError(text string, err error) error {
	var failure participle.Error
	if !errors.As(err, &failure) {
		return newSyntaxError(text, lexer.Position{Line: 1, Column: 1}, "", err.Error(), "see: help")
	}
	position := failure.Position()
	found := ""
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		found = strings.Trim(unexpected.Unexpected.Value, "\n;")
	}
	before := statementBefore(text, position.Offset)
	detail := "this word does not fit here"
	if found == "" {
		detail = "the statement ends too soon"
		before = strings.TrimSpace(before) + " "
	}
	return newSyntaxError(text, position, found, detail, remedyFor(before, found))
}

// statementBefore returns the part of the statement that precedes offset.
func statementBefore(text string, offset int) string {
	before := text[:min(max(offset, 0), len(text))]
	if start := strings.LastIndexAny(before, "\n;"); start >= 0 {
		before = before[start+1:]
	}
	return before
}
