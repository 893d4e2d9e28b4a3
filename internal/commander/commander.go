// Package commander implements the command line of chivesctl, whose main function
// calls it. It runs statements given as arguments, in a script or at a prompt,
// and creates keys and the first committee.
//
// The package sends signed requests to entry hosts over HTTP, one at a time, and
// starts no goroutines.
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

// The names of the command line flags.
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
	flagAgainst  = "against"
	flagRegion   = "region"
)

// Commander runs the command line of chivesctl.
type Commander struct {
	input  io.Reader
	output io.Writer
}

// New returns a Commander that reads the prompt from input and prints answers to
// output.
func New(input io.Reader, output io.Writer) *Commander {
	return &Commander{input: input, output: output}
}

// Run executes the command line arguments, the first of which is the name of the
// program.
func (commander *Commander) Run(ctx context.Context, arguments []string) error {
	return commander.rootCommand().Run(ctx, arguments)
}

func (commander *Commander) rootCommand() *cli.Command {
	return &cli.Command{
		Name:                  "chivesctl",
		Usage:                 "query and change the configuration of chivespool",
		UsageText:             "chivesctl [options] STATEMENT, or without a statement for a prompt; see: chivesctl help",
		Writer:                commander.output,
		HideHelpCommand:       true,
		EnableShellCompletion: true,
		ShellComplete:         commander.complete,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagEntry, Usage: "`ADDRESS` of an entry host; repeat it to add fallback hosts", Sources: cli.EnvVars("CHIVESPOOL_ENTRY")},
			&cli.StringFlag{Name: flagOperator, Usage: "your `NAME` in the committee", Sources: cli.EnvVars("CHIVESPOOL_OPERATOR")},
			&cli.StringFlag{Name: flagKey, Usage: "`FILE` of your private key", Sources: cli.EnvVars("CHIVESPOOL_KEY")},
			&cli.BoolFlag{Name: flagJSON, Usage: "print answers in JSON"},
			&cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Usage: "run the statements in `FILE`, or in the standard input for -"},
			&cli.StringFlag{Name: flagAgain, Usage: "repeat a command whose outcome was unknown; `ID@TIME` is in the error message"},
		},
		Commands: []*cli.Command{commander.keygenCommand(), commander.bootstrapCommand(), commander.localViewCommand(), commander.checkCommand()},
		Action:   commander.runStatements,
	}
}

func (commander *Commander) keygenCommand() *cli.Command {
	return &cli.Command{
		Name:  "keygen",
		Usage: "create a key pair and print the public key",
		Flags: []cli.Flag{&cli.StringFlag{Name: flagOut, Usage: "new `FILE` for the private key", Required: true}},
		Action: func(_ context.Context, command *cli.Command) error {
			publicKey, err := signer.WriteKey(command.String(flagOut))
			if err != nil {
				return err
			}
			return commander.print(publicKey + "\n")
		},
	}
}

func (commander *Commander) bootstrapCommand() *cli.Command {
	return &cli.Command{
		Name:  "bootstrap",
		Usage: "create the first committee with yourself as the chair; sign with the bootstrap key of the entry hosts' settings",
		Flags: []cli.Flag{&cli.StringSliceFlag{Name: flagMember, Usage: "`NAME=PUBLIC-KEY` of another member"}},
		Action: func(ctx context.Context, command *cli.Command) error {
			session, err := newSession(command)
			if err != nil {
				return err
			}
			statement, err := firstCommitteeStatement(session.client.operator, signer.FormatPublicKey(session.client.publicKey()), command.StringSlice(flagMember))
			if err != nil {
				return err
			}
			return commander.execute(ctx, session, statement)
		},
	}
}

// firstCommitteeStatement returns the statement that creates the committee.
func firstCommitteeStatement(operator, key string, members []string) (string, error) {
	changes := []string{fmt.Sprintf("create member %s key %s", operator, key)}
	for _, member := range members {
		name, key, ok := strings.Cut(member, "=")
		if !ok {
			return "", fmt.Errorf("%q is not a member; write NAME=PUBLIC-KEY", member)
		}
		changes = append(changes, fmt.Sprintf("create member %s key %s", name, key))
	}
	changes = append(changes, "chair "+operator)
	return "propose " + strings.Join(changes, ", "), nil
}

// runStatements runs statements from the arguments, a file or the prompt.
func (commander *Commander) runStatements(ctx context.Context, command *cli.Command) error {
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
		return commander.runScript(ctx, session, script)
	}
	if text != "" {
		return commander.runScript(ctx, session, text)
	}
	return commander.runPrompt(ctx, session)
}

// quoteArguments joins shell arguments to one text. It quotes arguments that
// would be parsed as several words.
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
		return "", fmt.Errorf("read the script; name a file, or - for the standard input: %w", err)
	}
	return string(data), nil
}

// runScript runs statements in order until one fails. If any statement has a
// syntax error, it runs none.
func (commander *Commander) runScript(ctx context.Context, session *session, text string) error {
	statements, err := parser.Parse(text)
	if err != nil {
		return commander.reportError(session, err)
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
	answer, err := session.submit(ctx, text)
	if err != nil {
		return commander.reportError(session, err)
	}
	return commander.printAnswer(answer, session.json)
}

func (commander *Commander) printAnswer(answer *presenter.Answer, inJSON bool) error {
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

// help prints the syntax of statements without contacting an entry host.
func (commander *Commander) help(topic string, inJSON bool) error {
	answer := presenter.New("statement", "what-it-does")
	for _, form := range parser.Forms(topic) {
		answer.Add(form.String(), form.Help())
	}
	if len(answer.Rows) == 0 {
		return fmt.Errorf("there is no help on %q; see: chivesctl help", topic)
	}
	return commander.printAnswer(answer, inJSON)
}
