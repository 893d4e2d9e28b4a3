// Command chivesbench holds the stand-ins for what surrounds chivespool and
// the tool that puts load on it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:  "chivesbench",
		Usage: "stand-ins for the platform and backend servers, and load",
		Commands: []*cli.Command{
			storeCommand(),
			hostListCommand(),
			backendCommand(),
			loadCommand(),
			compareCommand(),
			addedCommand(),
			callCommand(),
			awaitCommand(),
			endpointsCommand(),
			sampleCommand(),
			slopesCommand(),
		},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		klog.ErrorS(err, "chivesbench failed")
		klog.Flush()
		os.Exit(1)
	}
}
