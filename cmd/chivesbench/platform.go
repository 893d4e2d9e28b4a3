package main

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/internal/supervisor"
)

func listenFlag(address string) cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: address, Usage: "IP:port to listen on"}
}

func storeCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "emulate the platform's key-value store",
		Flags: []cli.Flag{
			listenFlag("127.0.0.1:7901"),
			&cli.StringFlag{Name: "log", Usage: "`FILE` for all writes, so that they survive a kill of the process"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			var store emulator.Store
			if file := command.String("log"); file != "" {
				if err := store.OpenLog(file); err != nil {
					return err
				}
			}
			return serve(ctx, "store", command.String("listen"), store.Handler())
		},
	}
}

func hostListCommand() *cli.Command {
	return &cli.Command{
		Name:  "host-list",
		Usage: "emulate the platform's host list",
		Flags: []cli.Flag{
			listenFlag("127.0.0.1:7902"),
			&cli.DurationFlag{Name: "lag", Usage: "delay until changes are visible"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			var hostList emulator.HostList
			hostList.SetLag(command.Duration("lag"))
			return serve(ctx, "host-list", command.String("listen"), hostList.Handler())
		},
	}
}

// serve runs an emulated service under a supervisor tree until ctx is done.
func serve(ctx context.Context, name, address string, handler http.Handler) error {
	listener, err := emulator.Listen(address, handler)
	if err != nil {
		return err
	}
	klog.InfoS("emulated service is listening", "name", name, "address", listener.Address())
	var tree supervisor.Tree
	tree.Add(name, listener)
	return tree.Run(ctx)
}
