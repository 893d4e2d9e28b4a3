package commander

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/chivespool/chivespool/internal/inspector"
	"github.com/chivespool/chivespool/internal/presenter"
	"github.com/chivespool/chivespool/platform"
)

// The exit statuses of a failed command.
const (
	// statusFailed is that of all commands, and of a check that has findings.
	statusFailed = 1
	// statusUnusable is that of a check whose command line or files can't be used.
	statusUnusable = 2
)

// unusableError is the error of a check whose command line or files can't be used. It
// has no method ExitCode, for which urfave/cli would end the process.
type unusableError struct{ error }

// Unwrap returns the cause.
func (unusableError unusableError) Unwrap() error { return unusableError.error }

// ExitStatus returns the exit status of the process after Run returned err.
func ExitStatus(err error) int {
	var unusableError unusableError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &unusableError):
		return statusUnusable
	}
	return statusFailed
}

// checkCommand checks a configuration of the gateway in a file. It contacts no host.
func (commander *Commander) checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a configuration of the gateway before it is written to the platform's store",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagAgainst, Usage: "`FILE` of the version in force; lists the differences"},
			&cli.StringSliceFlag{Name: flagRegion, Usage: "`NAME` of a region that exists; repeat it for all, or give none to accept any name"},
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return unusableError{err} },
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() != 1 {
				return unusableError{errors.New("name one file; see: chivesctl check --help")}
			}
			return commander.check(command, command.Args().First())
		},
	}
}

func (commander *Commander) check(command *cli.Command, file string) error {
	value, err := readConfiguration(file)
	if err != nil {
		return err
	}
	var inForce *inspector.Configuration
	if against := command.String(flagAgainst); against != "" {
		if inForce, err = readInForce(against); err != nil {
			return err
		}
	}
	var findings []inspector.Finding
	configuration, err := platform.DecodeInspected(value)
	if err != nil {
		findings = append(findings, inspector.NewUndecodable(err))
	} else {
		findings = inspector.New(command.StringSlice(flagRegion)).Inspect(configuration)
		if inForce != nil {
			findings = append(findings, inspector.Compare(configuration, inForce)...)
		}
	}
	answer := presenter.New("class", "kind", "entry", "text")
	faults := 0
	for _, finding := range findings {
		answer.Add(string(finding.Class()), finding.Kind(), finding.Entry(), finding.Text())
		if finding.Class() != inspector.Difference {
			faults++
		}
	}
	answer.Note = fmt.Sprintf("findings: %d, differences: %d", faults, len(findings)-faults)
	if err := commander.printAnswer(answer, command.Bool(flagJSON)); err != nil {
		return err
	}
	if faults > 0 {
		return fmt.Errorf("correct %s before you write it to the store; findings: %d", file, faults)
	}
	return nil
}

func readInForce(file string) (*inspector.Configuration, error) {
	value, err := readConfiguration(file)
	if err != nil {
		return nil, err
	}
	configuration, err := platform.DecodeInspected(value)
	if err != nil {
		return nil, unusableError{fmt.Errorf("decode %s; name a file with the version in force: %w", file, err)}
	}
	return configuration, nil
}

func readConfiguration(file string) ([]byte, error) {
	value, err := os.ReadFile(file)
	if err != nil {
		return nil, unusableError{fmt.Errorf("read the configuration; name a file that you may read: %w", err)}
	}
	return value, nil
}
