// Package commander holds the commands of chivesctl: statements of the
// language as arguments, as a script and at a prompt, and the making of keys
// and of the first committee.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/chivespool/chivespool/internal/parser"
	"github.com/chivespool/chivespool/internal/presenter"
	"github.com/chivespool/chivespool/internal/signer"
)

// The names of the flags.
const (
	flagEntry    = "entry"
	flagOperator = "operator"
	flagKey      = "key"
	flagJSON     = "json"
	flagFile     = "file"
	flagAgain    = "again"
	flagOut      = "out"
	flagMember   = "member"
	flagGateway  = "gateway"
)

// Commander is one run of chivesctl.
type Commander struct {
	input  io.Reader
	output io.Writer
}

// New returns a commander that prompts on input and answers on output.
func New(input io.Reader, output io.Writer) *Commander {
	return &Commander{input: input, output: output}
}

// Run runs the command line arguments, the name of the program first.
func (commander *Commander) Run(ctx context.Context, arguments []string) error {
	return commander.command().Run(ctx, arguments)
}

func (commander *Commander) command() *cli.Command {
	return &cli.Command{
		Name:                  "chivesctl",
		Usage:                 "ask what is in force and command changes",
		UsageText:             "chivesctl [options] STATEMENT, or without a statement for a prompt; see: chivesctl help",
		Writer:                commander.output,
		HideHelpCommand:       true,
		EnableShellCompletion: true,
		ShellComplete:         commander.complete,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagEntry, Usage: "`ADDRESS` of an entry host; repeat it to name others to try", Sources: cli.EnvVars("CHIVESPOOL_ENTRY")},
			&cli.StringFlag{Name: flagOperator, Usage: "your `NAME` in the committee", Sources: cli.EnvVars("CHIVESPOOL_OPERATOR")},
			&cli.StringFlag{Name: flagKey, Usage: "`FILE` of your private key", Sources: cli.EnvVars("CHIVESPOOL_KEY")},
			&cli.BoolFlag{Name: flagJSON, Usage: "answer in JSON"},
			&cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Usage: "run the statements of `FILE`, or of the input for -"},
			&cli.StringFlag{Name: flagAgain, Usage: "repeat the command whose outcome was not known; `ID@TIME` is in its message"},
		},
		Commands: []*cli.Command{commander.keygen(), commander.bootstrap(), commander.beliefs()},
		Action:   commander.act,
	}
}

func (commander *Commander) keygen() *cli.Command {
	return &cli.Command{
		Name:  "keygen",
		Usage: "make a key and print its public half",
		Flags: []cli.Flag{&cli.StringFlag{Name: flagOut, Usage: "new `FILE` for the private half", Required: true}},
		Action: func(_ context.Context, command *cli.Command) error {
			public, err := signer.WriteKey(command.String(flagOut))
			if err != nil {
				return err
			}
			return commander.print(public + "\n")
		},
	}
}

func (commander *Commander) bootstrap() *cli.Command {
	return &cli.Command{
		Name:  "bootstrap",
		Usage: "make the first committee, with yourself as the chair; sign with the key that the settings of the entry hosts name",
		Flags: []cli.Flag{&cli.StringSliceFlag{Name: flagMember, Usage: "`NAME=PUBLIC-KEY` of a further member"}},
		Action: func(ctx context.Context, command *cli.Command) error {
			session, err := newSession(command)
			if err != nil {
				return err
			}
			statement, err := firstCommittee(session.client.operator, signer.FormatPublicKey(session.client.public()), command.StringSlice(flagMember))
			if err != nil {
				return err
			}
			return commander.execute(ctx, session, statement)
		},
	}
}

// firstCommittee returns the statement that makes the committee.
func firstCommittee(operator, key string, members []string) (string, error) {
	changes := []string{fmt.Sprintf("create member %s key %s", operator, key)}
	for _, member := range members {
		name, key, ok := strings.Cut(member, "=")
		if !ok {
			return "", fmt.Errorf("%q names no member; write NAME=PUBLIC-KEY", member)
		}
		changes = append(changes, fmt.Sprintf("create member %s key %s", name, key))
	}
	changes = append(changes, "chair "+operator)
	return "propose " + strings.Join(changes, ", "), nil
}

// act runs the statements of the arguments, of a file, or of a prompt.
func (commander *Commander) act(ctx context.Context, command *cli.Command) error {
	text := quoteArguments(command.Args().Slice())
	if text == "help" || strings.HasPrefix(text, "help ") {
		return commander.help(strings.TrimSpace(strings.TrimPrefix(text, "help")), command.Bool(flagJSON))
	}
	session, err := newSession(command)
	if err != nil {
		return err
	}
	if file := command.String(flagFile); file != "" {
		script, err := commander.readScript(file)
		if err != nil {
			return err
		}
		return commander.script(ctx, session, script)
	}
	if text != "" {
		return commander.script(ctx, session, text)
	}
	return commander.prompt(ctx, session)
}

// quoteArguments joins arguments of the shell to a text; those that would read
// as several words are quoted.
func quoteArguments(arguments []string) string {
	if len(arguments) == 1 {
		return arguments[0]
	}
	quoted := make([]string, 0, len(arguments))
	for _, argument := range arguments {
		if argument == "" || strings.ContainsAny(argument, " \t;#") {
			argument = `"` + argument + `"`
		}
		quoted = append(quoted, argument)
	}
	return strings.Join(quoted, " ")
}

func (commander *Commander) readScript(file string) (string, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(commander.input)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return "", fmt.Errorf("read the script; name a file or - for the input: %w", err)
	}
	return string(data), nil
}

// script runs statements in order and stops at the first that fails. A syntax
// error anywhere keeps all from running.
func (commander *Commander) script(ctx context.Context, session *session, text string) error {
	statements, err := parser.Parse(text)
	if err != nil {
		return commander.fail(session, err)
	}
	for _, statement := range statements {
		if err := commander.execute(ctx, session, statement.Text()); err != nil {
			return err
		}
	}
	return nil
}

// execute sends one statement and prints its answer.
func (commander *Commander) execute(ctx context.Context, session *session, text string) error {
	answer, err := session.ask(ctx, text)
	if err != nil {
		return commander.fail(session, err)
	}
	return commander.show(answer, session.json)
}

func (commander *Commander) show(answer *presenter.Answer, inJSON bool) error {
	if !inJSON {
		return commander.print(answer.Text())
	}
	text, err := answer.JSON()
	if err != nil {
		return err
	}
	return commander.print(text)
}

func (commander *Commander) print(text string) error {
	if _, err := io.WriteString(commander.output, text); err != nil {
		return fmt.Errorf("print the answer: %w", err)
	}
	return nil
}

// help needs no entry host.
func (commander *Commander) help(topic string, inJSON bool) error {
	answer := presenter.New("statement", "what-it-does")
	for _, form := range parser.Forms(topic) {
		answer.Add(form.String(), form.Help())
	}
	if len(answer.Rows) == 0 {
		return fmt.Errorf("there is no help on %q; see: chivesctl help", topic)
	}
	return commander.show(answer, inJSON)
}
