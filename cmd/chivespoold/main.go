// Command chivespoold is the entry host daemon. It reads the settings and runs
// the process that package runner or package launcher builds.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/launcher"
	"github.com/chivespool/chivespool/internal/loader"
	"github.com/chivespool/chivespool/internal/runner"
)

// gcPercent trades memory for processor time, since requests produce much garbage
// on a small live heap. GOGC takes precedence if it is set.
const gcPercent = 400

// gatewayGCPercent is gcPercent for a gateway, which runs on a small host, is
// billed by its peak memory, and leaves its processor mostly idle.
const gatewayGCPercent = 50

func main() {
	signals := catchSignals(context.Background())
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if err := signals.command().Run(signals.stop, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "chivespoold:", err)
		klog.Flush()
		os.Exit(1)
	}
	klog.Flush()
}

func (signals *signals) command() *cli.Command {
	settings := &cli.StringFlag{Name: "settings", Usage: "read settings from `FILE` (INI; docs/SETTINGS.md)", Required: true}
	return &cli.Command{
		Name:   "chivespoold",
		Usage:  "run a chivespool entry host",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "settings", Usage: settings.Usage}},
		Action: run,
		Commands: []*cli.Command{
			{
				Name: "check-settings", Usage: "check a settings file; report all errors and exit with status 1 if there are any",
				Flags: []cli.Flag{settings}, Action: checkSettings,
			},
			{
				Name: "gateway", Usage: "run as a gateway, an entry host of the users' platform",
				Flags: []cli.Flag{&cli.StringFlag{
					Name: "settings", Usage: "read settings from `FILE`", Required: true,
					Sources: cli.EnvVars("CHIVESPOOL_SETTINGS"),
				}},
				Action: signals.runGateway,
			},
			{Name: "settings-page", Usage: "print docs/SETTINGS.md", Action: printSettingsPage},
		},
	}
}

func run(ctx context.Context, command *cli.Command) error {
	settings, err := loader.Read(command.String("settings"))
	if err != nil {
		return err
	}
	var level klog.Level
	if err := level.Set(strconv.Itoa(settings.LogVerbosity())); err != nil {
		return err
	}
	daemon, err := runner.New(settings)
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}

func (signals *signals) runGateway(ctx context.Context, command *cli.Command) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gatewayGCPercent)
	}
	gateway, err := launcher.New(command.String("settings"), os.Stdout, signals.hangups)
	if err != nil {
		return err
	}
	return gateway.Run(ctx)
}

func checkSettings(_ context.Context, command *cli.Command) error {
	settings, err := loader.Read(command.String("settings"))
	if err != nil {
		return err
	}
	fmt.Printf("%s is valid for host %s at %s\n", command.String("settings"), settings.Name(), settings.Place())
	return nil
}

func printSettingsPage(context.Context, *cli.Command) error {
	fmt.Print(loader.SettingsPage())
	return nil
}
