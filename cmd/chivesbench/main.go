// Command chivesbench emulates the services around chivespool, and generates load
// on it.
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
		Usage: "emulate the platform and backend servers, and generate load",
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
