package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chivespool/chivespool/internal/generator"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:   "load",
		Usage:  "send requests through chivespool and check the answers",
		Flags:  append(targetFlags(), planFlags()...),
		Action: runLoad,
	}
}

func targetFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "entry", Usage: "IP:port of an entry host; repeat for more", Required: true},
		&cli.StringSliceFlag{Name: "journal", Usage: "base URL of a backend's admin address; repeat for more"},
		&cli.BoolFlag{Name: "all-answered", Usage: "fail unless every request is answered"},
		&cli.StringFlag{Name: "out", Usage: "folder for LABEL.json, LABEL.percentiles.svg and LABEL.series.svg"},
	}
}

func planFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "label", Value: "load", Usage: "name of the run, which must be new to the journals"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
		&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "how long requests are sent"},
		&cli.DurationFlag{Name: "warmup", Usage: "time at the start that is not measured"},
		&cli.FloatFlag{Name: "rate", Value: 200, Usage: "requests a second"},
		&cli.IntFlag{Name: "slots", Usage: "slots of all endpoints; sets the rate to --load of their capacity"},
		&cli.FloatFlag{Name: "load", Value: 1, Usage: "share of the capacity of --slots"},
		&cli.FloatFlag{Name: "slow-share", Usage: "share of the time that endpoints are slow, for the capacity"},
		&cli.FloatFlag{Name: "slow-factor", Value: 4, Usage: "how many times longer work is then"},
		&cli.StringFlag{Name: "policy", Usage: "name of the way of routing, for compare"},
		&cli.StringFlag{Name: "scene", Usage: "name of the load, for compare"},
		&cli.FloatFlag{Name: "swing-low", Value: 0.3, Usage: "factor on the rate in the trough of a swing"},
		&cli.FloatFlag{Name: "swing-high", Value: 1.5, Usage: "factor on the rate at the crest of a swing"},
		&cli.DurationFlag{Name: "swing", Usage: "time from trough to trough; 0 for a steady rate"},
		&cli.StringSliceFlag{Name: "service", Usage: "service to send to; repeat for more", Required: true},
		&cli.IntFlag{Name: "callers", Value: 20, Usage: "callers that send"},
		&cli.StringSliceFlag{Name: "place", Usage: "region/data-centre of callers; repeat for more"},
		&cli.DurationFlag{Name: "short", Value: 5 * time.Millisecond, Usage: "mean run time of short requests"},
		&cli.DurationFlag{Name: "long", Value: 150 * time.Millisecond, Usage: "mean run time of long requests"},
		&cli.FloatFlag{Name: "long-share", Value: 0.01, Usage: "share of long requests"},
		&cli.FloatFlag{Name: "post-share", Value: 0.1, Usage: "share of requests that must not repeat"},
		&cli.FloatFlag{Name: "keyed-share", Usage: "share of requests with an Idempotency-Key"},
		&cli.Int64Flag{Name: "request-bytes", Value: 200, Usage: "size of the bodies of POST requests"},
		&cli.Int64Flag{Name: "answer-bytes", Value: 1000, Usage: "size of short answers"},
		&cli.Int64Flag{Name: "long-answer-bytes", Value: 100_000, Usage: "size of long answers"},
		&cli.DurationFlag{Name: "timeout", Value: 2 * time.Second, Usage: "deadline of short requests"},
		&cli.DurationFlag{Name: "long-timeout", Value: 20 * time.Second, Usage: "deadline of long requests"},
		&cli.IntFlag{Name: "resends", Value: 2, Usage: "how often a keyed request with an unknown outcome is sent again"},
		&cli.BoolFlag{Name: "faults", Usage: "processes are stopped meanwhile: a broken connection is no loss"},
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	plan, err := planOf(command)
	if err != nil {
		return err
	}
	report := generator.New(plan, command.StringSlice("entry")).Run(ctx)
	if err := report.Audit(context.WithoutCancel(ctx), command.StringSlice("journal")); err != nil {
		return err
	}
	report.WriteTable(os.Stdout)
	if folder := command.String("out"); folder != "" {
		if err := writeReport(folder, report); err != nil {
			return err
		}
	}
	if counts := report.Counts; command.Bool("all-answered") && counts.Answered < counts.Sent {
		return fmt.Errorf("%d of %d requests were not answered; see the kinds above", counts.Sent-counts.Answered, counts.Sent)
	}
	return report.Fault()
}

func planOf(command *cli.Command) (generator.Plan, error) {
	places, err := placesOf(command.StringSlice("place"))
	plan := generator.Plan{
		Policy:          command.String("policy"),
		Scene:           command.String("scene"),
		Label:           command.String("label"),
		Seed:            command.Uint64("seed"),
		DurationMs:      inMilliseconds(command.Duration("duration")),
		WarmupMs:        inMilliseconds(command.Duration("warmup")),
		Rate:            command.Float("rate"),
		SwingLow:        command.Float("swing-low"),
		SwingHigh:       command.Float("swing-high"),
		SwingMs:         inMilliseconds(command.Duration("swing")),
		Services:        command.StringSlice("service"),
		Callers:         command.Int("callers"),
		Places:          places,
		ShortMs:         inMilliseconds(command.Duration("short")),
		LongMs:          inMilliseconds(command.Duration("long")),
		LongShare:       command.Float("long-share"),
		PostShare:       command.Float("post-share"),
		KeyedShare:      command.Float("keyed-share"),
		RequestBytes:    command.Int64("request-bytes"),
		AnswerBytes:     command.Int64("answer-bytes"),
		LongAnswerBytes: command.Int64("long-answer-bytes"),
		TimeoutMs:       inMilliseconds(command.Duration("timeout")),
		LongTimeoutMs:   inMilliseconds(command.Duration("long-timeout")),
		Resends:         command.Int("resends"),
		Faults:          command.Bool("faults"),
	}
	if slots := command.Int("slots"); slots > 0 {
		plan.Capacity = plan.CapacityOf(slots, command.Float("slow-share"), command.Float("slow-factor"))
		plan.Rate = command.Float("load") * plan.Capacity
	}
	return plan, err
}

func placesOf(texts []string) ([]generator.Place, error) {
	var places []generator.Place
	for _, text := range texts {
		region, dataCentre, ok := strings.Cut(text, "/")
		if !ok {
			return nil, fmt.Errorf("--place %q: write it as region/data-centre", text)
		}
		places = append(places, generator.Place{Region: region, DataCentre: dataCentre})
	}
	return places, nil
}

// writeReport writes a report and its plots into folder.
func writeReport(folder string, report *generator.Report) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("make the folder of --out: %w", err)
	}
	base := filepath.Join(folder, report.Plan.Label)
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the report: %w", err)
	}
	if err := os.WriteFile(base+".json", append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write the report: %w", err)
	}
	if err := writePlot(base+".percentiles.svg", generator.PercentilePlot(report.Plan.Label+", short p, ms", report)); err != nil {
		return err
	}
	return writePlot(base+".series.svg", generator.SeriesPlot(report))
}

func writePlot(path string, plot *generator.Plot) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write a plot: %w", err)
	}
	err = plot.WriteSVG(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
