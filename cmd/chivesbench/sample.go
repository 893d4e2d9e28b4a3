package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chivespool/chivespool/internal/sampler"
)

func sampleCommand() *cli.Command {
	return &cli.Command{
		Name:  "sample",
		Usage: "measure the resource usage of entry hosts and print it as one line of JSON",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "process", Usage: "PID=IP:port of an entry host; repeat for more", Required: true},
			&cli.DurationFlag{Name: "interval", Value: 10 * time.Second, Usage: "length of the measurement"},
			&cli.StringFlag{Name: "scene", Usage: "name of the scenario", Required: true},
			&cli.FloatFlag{Name: "x", Usage: "position in the series of the scenario"},
		},
		Action: runSample,
	}
}

func runSample(ctx context.Context, command *cli.Command) error {
	var processes []sampler.Process
	for _, text := range command.StringSlice("process") {
		id, address, _ := strings.Cut(text, "=")
		number, err := strconv.Atoi(id)
		if err != nil {
			return fmt.Errorf("--process %q: write it as PID=IP:port", text)
		}
		processes = append(processes, sampler.NewProcess(number, address))
	}
	sample, err := sampler.Measure(ctx, processes, command.Duration("interval"))
	if err != nil {
		return err
	}
	sample.Scene = command.String("scene")
	sample.X = command.Float("x")
	return json.NewEncoder(os.Stdout).Encode(sample)
}

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:      "slopes",
		Usage:     "fit lines to the output of sample",
		ArgsUsage: "FILE",
		Action:    runSlopes,
	}
}

func runSlopes(_ context.Context, command *cli.Command) error {
	file, err := os.Open(command.Args().First())
	if err != nil {
		return fmt.Errorf("open the samples, specify a file with the output of sample: %w", err)
	}
	defer func() { _ = file.Close() }()
	var samples []sampler.Sample
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var sample sampler.Sample
		if err := json.Unmarshal(lines.Bytes(), &sample); err != nil {
			return fmt.Errorf("decode the samples, specify a file with the output of sample: %w", err)
		}
		samples = append(samples, sample)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read the samples: %w", err)
	}
	return sampler.WriteLinearFits(os.Stdout, sampler.LinearFits(samples))
}
