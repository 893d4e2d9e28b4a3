package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chivespool/chivespool/internal/comparer"
)

func addedCommand() *cli.Command {
	return &cli.Command{
		Name:  "added",
		Usage: "measure the latency that an entry host adds to a call, against direct calls to the endpoint",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Usage: "IP:port of an entry host", Required: true},
			&cli.StringFlag{Name: "endpoint", Usage: "IP:port of the only endpoint of the service", Required: true},
			&cli.StringFlag{Name: "service", Usage: "name of the service", Required: true},
			&cli.IntFlag{Name: "count", Value: 5000, Usage: "number of calls, each through the entry host and direct"},
			&cli.DurationFlag{Name: "pause", Value: time.Millisecond, Usage: "pause between calls"},
		},
		Action: runAdded,
	}
}

func runAdded(ctx context.Context, command *cli.Command) error {
	direct := "http://" + command.String("endpoint") + "/added"
	routed := "http://" + command.String("entry") + "/s/" + command.String("service") + "/added"
	comparer := comparer.New(direct, routed, command.Duration("pause"))
	defer func() { _ = comparer.Close() }()
	result, err := comparer.Run(ctx, command.Int("count"))
	if err != nil {
		return err
	}
	fmt.Print(result)
	return nil
}
