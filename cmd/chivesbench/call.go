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
	callTimeout   = 10 * time.Second
	awaitInterval = 20 * time.Millisecond
)

func callCommand() *cli.Command {
	return &cli.Command{
		Name:      "call",
		Usage:     "make one HTTP call, for example to enable a fault",
		ArgsUsage: "METHOD URL [JSON]",
		Action:    runCall,
	}
}

func runCall(ctx context.Context, command *cli.Command) error {
	arguments := command.Args()
	if arguments.Len() < 2 {
		return fmt.Errorf("missing arguments: specify METHOD and URL")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, arguments.Get(0), arguments.Get(1), strings.NewReader(arguments.Get(2)))
	if err != nil {
		return fmt.Errorf("invalid METHOD or URL: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("call failed, check that the process is running: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(os.Stdout, response.Body); err != nil {
		return fmt.Errorf("read the response: %w", err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("the response status is %s", response.Status)
	}
	return nil
}

func awaitCommand() *cli.Command {
	return &cli.Command{
		Name:      "await",
		Usage:     "wait until processes accept connections",
		ArgsUsage: "IP:port...",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "timeout", Value: callTimeout, Usage: "maximum wait"},
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

// await retries to connect to address until it succeeds or ctx is done.
func await(ctx context.Context, address string) error {
	ticker := time.NewTicker(awaitInterval)
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
			return fmt.Errorf("no process accepts connections on %s, see its log: %w", address, err)
		}
	}
}
