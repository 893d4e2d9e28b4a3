package commander

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chivespool/chivespool/internal/administrator"
	"github.com/chivespool/chivespool/internal/parser"
	"github.com/chivespool/chivespool/internal/presenter"
	"github.com/chivespool/chivespool/internal/signer"
)

// session sends the statements of one operator to a list of entry hosts.
type session struct {
	client client
	json   bool
	// repeat is the ID@TIME of a command to repeat; it applies to the next
	// statement only.
	repeat string
}

func newSession(command *cli.Command) (*session, error) {
	root := command.Root()
	privateKey, err := signer.ReadKey(root.String(flagKey))
	if err != nil {
		return nil, err
	}
	session := &session{json: root.Bool(flagJSON), repeat: root.String(flagAgain)}
	session.client.privateKey = privateKey
	session.client.operator = root.String(flagOperator)
	session.client.entries = root.StringSlice(flagEntry)
	if session.client.operator == "" {
		return nil, fmt.Errorf("operator name is missing; give --operator NAME")
	}
	if len(session.client.entries) == 0 {
		return nil, fmt.Errorf("entry host is missing; give --entry ADDRESS")
	}
	return session, nil
}

// submit sends one statement. A timeline is collected from all entry hosts.
func (session *session) submit(ctx context.Context, text string) (*presenter.Answer, error) {
	statement, err := parser.ParseOne(text)
	if err != nil {
		return nil, err
	}
	if timeLine, ok := statement.Body().(parser.TimeLine); ok {
		return session.timeLine(ctx, timeLine)
	}
	request := signer.Request{Command: text, ID: signer.NewID(), Time: time.Now()}
	if session.repeat != "" {
		request.ID, request.Time, err = parseRepeatReference(session.repeat)
		session.repeat = ""
	}
	if err != nil {
		return nil, err
	}
	return session.client.send(ctx, request)
}

func (session *session) timeLine(ctx context.Context, body parser.TimeLine) (*presenter.Answer, error) {
	var since time.Time
	if body.Since() > 0 {
		since = time.Now().Add(-body.Since())
	}
	events, failed, err := session.client.timeLine(ctx, since)
	if err != nil {
		return nil, err
	}
	answer := administrator.FormatEvents(events)
	if len(failed) > 0 {
		answer.Note = "no answer from " + strings.Join(failed, ", ")
	}
	return answer, nil
}

// runPrompt reads and runs statements line by line. For a line that ends in ?, it
// prints the completions instead.
func (commander *Commander) runPrompt(ctx context.Context, session *session) error {
	lines := bufio.NewScanner(commander.input)
	names := &nameList{ctx: ctx, session: session}
	for {
		if err := commander.print("chivespool> "); err != nil {
			return err
		}
		if !lines.Scan() || ctx.Err() != nil {
			break
		}
		if err := commander.runLine(ctx, session, names, lines.Text()); err != nil {
			if err := commander.print(err.Error() + "\n"); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read the prompt: %w", err)
	}
	return commander.print("\n")
}

func (commander *Commander) runLine(ctx context.Context, session *session, names *nameList, line string) error {
	if before, ok := strings.CutSuffix(line, "?"); ok {
		return commander.print(strings.Join(parser.Complete(before, names), "  ") + "\n")
	}
	line = strings.TrimSpace(line)
	if topic, ok := strings.CutPrefix(line, "help"); ok {
		return commander.help(strings.TrimSpace(topic), session.json)
	}
	if line == "" {
		return nil
	}
	return commander.runScript(ctx, session, line)
}

// reportError returns err in the form printed to the operator: a syntax error
// with carets under the word. In JSON mode it also prints the failure as JSON.
func (commander *Commander) reportError(session *session, err error) error {
	failure := administrator.Failure{Kind: "no-answer", Error: err.Error()}
	var answerError *AnswerError
	var syntaxError *parser.SyntaxError
	switch {
	case errors.As(err, &answerError):
		failure = answerError.failure
	case errors.As(err, &syntaxError):
		failure.Kind, failure.Excerpt = "bad-statement", syntaxError.Excerpt()
		err = errors.New(failure.Excerpt)
	}
	if !session.json {
		return err
	}
	data, encodeError := json.Marshal(failure)
	if encodeError != nil {
		return errors.Join(err, encodeError)
	}
	return errors.Join(err, commander.print(string(data)+"\n"))
}

// nameList provides names for completion. It fetches them from an entry host on
// first use.
type nameList struct {
	ctx     context.Context
	session *session
	rows    [][]string
	fetched bool
}

// List returns the names for a placeholder such as SERVICE, or the placeholder
// if there are none.
func (nameList *nameList) List(value string) []string {
	if !nameList.fetched {
		nameList.fetched = true
		request := signer.Request{Command: "names", ID: signer.NewID(), Time: time.Now()}
		if answer, err := nameList.session.client.send(nameList.ctx, request); err == nil {
			nameList.rows = answer.Rows
		}
	}
	var names []string
	for _, row := range nameList.rows {
		if row[0] == strings.ToLower(value) {
			names = append(names, row[1])
		}
	}
	if len(names) == 0 {
		return []string{value}
	}
	slices.Sort(names)
	return names
}

// complete prints the shell completions of the next argument.
func (commander *Commander) complete(ctx context.Context, command *cli.Command) {
	typed := command.Args().Slice()
	if last := len(typed) - 1; last >= 0 && typed[last] == "--generate-shell-completion" {
		typed = typed[:last]
	}
	var names parser.NameSource
	if session, err := newSession(command); err == nil {
		names = &nameList{ctx: ctx, session: session}
	}
	text := strings.Join(typed, " ")
	if text != "" {
		text += " "
	}
	for _, candidate := range parser.Complete(text, names) {
		_ = commander.print(candidate + "\n")
	}
}
