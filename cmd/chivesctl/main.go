// Command chivesctl is the operators' command-line client. It sends statements of
// the query and command language to an entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/chivespool/chivespool/internal/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := commander.New(os.Stdin, os.Stdout).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(commander.ExitStatus(err))
	}
}
