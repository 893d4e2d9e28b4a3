// Command chivessoak injects random faults into fleets of real gateways on
// loopback, and checks the guarantees that callers and endpoints rely on.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chivespool/chivespool/internal/soaker"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:  "chivessoak",
		Usage: "inject random faults into fleets of gateways and check their guarantees",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "seeds", Value: "1", Usage: "seeds to run, as 7 or 1-50, separated by commas"},
			&cli.IntFlag{Name: "jobs", Value: 2, Usage: "fleets that run concurrently"},
			&cli.IntFlag{Name: "gateways", Value: 5, Usage: "gateways per fleet"},
			&cli.IntFlag{Name: "callers", Value: 20, Usage: "callers per fleet"},
			&cli.DurationFlag{Name: "trouble", Value: 12 * time.Second, Usage: "period in which events start and end"},
			&cli.StringFlag{Name: "kinds", Usage: "kinds of events to choose from, separated by commas; by default all"},
			&cli.StringFlag{Name: "daemon", Value: "bin/chivespoold", Usage: "executable of a gateway"},
			&cli.StringFlag{Name: "out", Value: "out/soak", Usage: "folder for settings, logs and reports"},
		},
		Action: run,
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "chivessoak:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, command *cli.Command) error {
	seeds, err := parseSeeds(command.String("seeds"))
	if err != nil {
		return err
	}
	options := soaker.NewOptions(command.String("daemon"), command.String("out"),
		command.Int("gateways"), command.Int("callers"), command.Duration("trouble"))
	if text := command.String("kinds"); text != "" {
		kinds, err := parseKinds(text)
		if err != nil {
			return err
		}
		options = options.WithKinds(kinds)
	}
	pool := soaker.NewPool(options, seeds, command.Int("jobs"))
	violated := 0
	for result := range pool.Run(ctx) {
		if result.Err() != nil {
			return result.Err()
		}
		fmt.Println(result.Report().Summary())
		for _, violation := range result.Report().Violations() {
			fmt.Println("  " + violation.String())
		}
		if len(result.Report().Violations()) > 0 {
			violated++
		}
	}
	fmt.Printf("%d of %d seeds with a violation\n", violated, len(seeds))
	if violated > 0 {
		return errors.New("guarantees were violated; run a seed again with --seeds, and read its folder")
	}
	return ctx.Err()
}

// parseKinds parses a list of kinds of events.
func parseKinds(text string) ([]soaker.Kind, error) {
	var kinds []soaker.Kind
	for part := range strings.SplitSeq(text, ",") {
		if !slices.Contains(soaker.Kinds(), soaker.Kind(part)) {
			return nil, fmt.Errorf("--kinds %q: choose from %v", part, soaker.Kinds())
		}
		kinds = append(kinds, soaker.Kind(part))
	}
	return kinds, nil
}

// parseSeeds parses a list of numbers and ranges of numbers.
func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for part := range strings.SplitSeq(text, ",") {
		first, last, isRange := strings.Cut(part, "-")
		if !isRange {
			last = first
		}
		from, err := strconv.ParseUint(first, 10, 32)
		to, lastErr := strconv.ParseUint(last, 10, 32)
		if err != nil || lastErr != nil || to < from {
			return nil, fmt.Errorf("--seeds %q: write numbers such as 7 or 1-50", part)
		}
		for seed := from; seed <= to; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}
