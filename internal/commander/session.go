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

// session is an operator's statements to one list of entry hosts.
type session struct {
	client client
	json   bool
	// again is the ID@TIME of a command to repeat; used once.
	again string
}

func newSession(command *cli.Command) (*session, error) {
	root := command.Root()
	private, err := signer.ReadKey(root.String(flagKey))
	if err != nil {
		return nil, err
	}
	session := &session{json: root.Bool(flagJSON), again: root.String(flagAgain)}
	session.client.private = private
	session.client.operator = root.String(flagOperator)
	session.client.entries = root.StringSlice(flagEntry)
	if session.client.operator == "" {
		return nil, fmt.Errorf("there is no operator; give --operator NAME")
	}
	if len(session.client.entries) == 0 {
		return nil, fmt.Errorf("there is no entry host; give --entry ADDRESS")
	}
	return session, nil
}

// ask sends one statement. The time line is gathered from all entry hosts.
func (session *session) ask(ctx context.Context, text string) (*presenter.Answer, error) {
	statement, err := parser.ParseOne(text)
	if err != nil {
		return nil, err
	}
	if timeLine, ok := statement.Body().(parser.TimeLine); ok {
		return session.timeLine(ctx, timeLine)
	}
	request := signer.Request{Command: text, ID: signer.NewID(), Time: time.Now()}
	if session.again != "" {
		request.ID, request.Time, err = parseAgain(session.again)
		session.again = ""
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
	events, silent, err := session.client.timeLine(ctx, since)
	if err != nil {
		return nil, err
	}
	answer := administrator.EventsAnswer(events)
	if len(silent) > 0 {
		answer.Note = "no answer from " + strings.Join(silent, ", ")
	}
	return answer, nil
}

// prompt reads statements line by line. A line that ends in ? shows what may
// stand there instead of running.
func (commander *Commander) prompt(ctx context.Context, session *session) error {
	lines := bufio.NewScanner(commander.input)
	names := &nameList{ctx: ctx, session: session}
	for {
		if err := commander.print("chivespool> "); err != nil {
			return err
		}
		if !lines.Scan() || ctx.Err() != nil {
			break
		}
		if err := commander.line(ctx, session, names, lines.Text()); err != nil {
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

func (commander *Commander) line(ctx context.Context, session *session, names *nameList, line string) error {
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
	return commander.script(ctx, session, line)
}

// fail returns err as the operator reads it, a syntax error with its mark under
// the word. Where answers are in JSON, it prints the failure so, too.
func (commander *Commander) fail(session *session, err error) error {
	failure := administrator.Failure{Kind: "no-answer", Error: err.Error()}
	var answerError *AnswerError
	var syntaxError *parser.SyntaxError
	switch {
	case errors.As(err, &answerError):
		failure = answerError.failure
	case errors.As(err, &syntaxError):
		failure.Kind, failure.Picture = "bad-statement", syntaxError.Picture()
		err = errors.New(failure.Picture)
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

// nameList gives completion the names that an entry host knows. It asks once.
type nameList struct {
	ctx     context.Context
	session *session
	rows    [][]string
	asked   bool
}

// List returns the names for a value such as SERVICE.
func (nameList *nameList) List(value string) []string {
	if !nameList.asked {
		nameList.asked = true
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

// complete prints what the shell may complete the last argument to.
func (commander *Commander) complete(ctx context.Context, command *cli.Command) {
	typed := command.Args().Slice()
	if last := len(typed) - 1; last >= 0 && typed[last] == "--generate-shell-completion" {
		typed = typed[:last]
	}
	var names parser.Names
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
