package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

const (
	callTimeout = 10 * time.Second
	awaitPause  = 20 * time.Millisecond
)

func callCommand() *cli.Command {
	return &cli.Command{
		Name:      "call",
		Usage:     "make one HTTP call, such as to switch a fault",
		ArgsUsage: "METHOD URL [JSON]",
		Action:    runCall,
	}
}

func runCall(ctx context.Context, command *cli.Command) error {
	arguments := command.Args()
	if arguments.Len() < 2 {
		return fmt.Errorf("give METHOD and URL")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, arguments.Get(0), arguments.Get(1), strings.NewReader(arguments.Get(2)))
	if err != nil {
		return fmt.Errorf("give METHOD and URL: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("call, check that the process runs: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(os.Stdout, response.Body); err != nil {
		return fmt.Errorf("read the answer: %w", err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("the answer is %s", response.Status)
	}
	return nil
}

func awaitCommand() *cli.Command {
	return &cli.Command{
		Name:      "await",
		Usage:     "wait until processes listen",
		ArgsUsage: "IP:port...",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "timeout", Value: callTimeout, Usage: "how long to wait"},
		},
		Action: runAwait,
	}
}

func runAwait(ctx context.Context, command *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, command.Duration("timeout"))
	defer cancel()
	for _, address := range command.Args().Slice() {
		if err := await(ctx, address); err != nil {
			return err
		}
	}
	return nil
}

// await tries to connect until it can.
func await(ctx context.Context, address string) error {
	ticker := time.NewTicker(awaitPause)
	defer ticker.Stop()
	var dialer net.Dialer
	for {
		connection, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			return connection.Close()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("nothing listens on %s, see the log of its process: %w", address, err)
		}
	}
}
