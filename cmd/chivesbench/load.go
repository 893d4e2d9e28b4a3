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
		Usage:  "send requests through chivespool and check the responses",
		Flags:  append(targetFlags(), planFlags()...),
		Action: runLoad,
	}
}

func targetFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "entry", Usage: "IP:port of an entry host; repeat for more", Required: true},
		&cli.StringSliceFlag{Name: "journal", Usage: "base URL of a backend's admin address; repeat for more"},
		&cli.BoolFlag{Name: "all-answered", Usage: "fail unless all requests are answered"},
		&cli.StringFlag{Name: "out", Usage: "directory for LABEL.json, LABEL.percentiles.svg and LABEL.series.svg"},
	}
}

func planFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "label", Value: "load", Usage: "name of the run and prefix of its request ids, which must not be in the journals yet"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the request arrivals"},
		&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "length of the load"},
		&cli.DurationFlag{Name: "warmup", Usage: "time at the start that is excluded from the measurement"},
		&cli.FloatFlag{Name: "rate", Value: 200, Usage: "requests per second"},
		&cli.IntFlag{Name: "slots", Usage: "total slots of the endpoints; sets --rate to --load times their capacity"},
		&cli.FloatFlag{Name: "load", Value: 1, Usage: "rate as a share of the capacity of --slots"},
		&cli.FloatFlag{Name: "slow-share", Usage: "share of the time in which endpoints are slow, to compute the capacity"},
		&cli.FloatFlag{Name: "slow-factor", Value: 4, Usage: "factor by which work takes longer while endpoints are slow"},
		&cli.StringFlag{Name: "policy", Usage: "name of the routing policy, for compare"},
		&cli.StringFlag{Name: "scene", Usage: "name of the load scenario, for compare"},
		&cli.FloatFlag{Name: "swing-low", Value: 0.3, Usage: "factor on the rate at the minimum of a swing"},
		&cli.FloatFlag{Name: "swing-high", Value: 1.5, Usage: "factor on the rate at the maximum of a swing"},
		&cli.DurationFlag{Name: "swing", Usage: "period of the swing; 0 for a constant rate"},
		&cli.StringSliceFlag{Name: "service", Usage: "target service; repeat for more", Required: true},
		&cli.IntFlag{Name: "callers", Value: 20, Usage: "number of callers"},
		&cli.StringSliceFlag{Name: "place", Usage: "location of callers as region/data-centre; repeat for more"},
		&cli.DurationFlag{Name: "short", Value: 5 * time.Millisecond, Usage: "mean run time of short requests"},
		&cli.DurationFlag{Name: "long", Value: 150 * time.Millisecond, Usage: "mean run time of long requests"},
		&cli.FloatFlag{Name: "long-share", Value: 0.01, Usage: "share of long requests"},
		&cli.BoolFlag{Name: "without-long", Usage: "omit the long requests and send the short ones at their original rate"},
		&cli.FloatFlag{Name: "post-share", Value: 0.1, Usage: "share of short requests that are POST and not repeatable"},
		&cli.FloatFlag{Name: "keyed-share", Usage: "share of short requests with an Idempotency-Key"},
		&cli.Int64Flag{Name: "request-bytes", Value: 200, Usage: "body size of POST requests"},
		&cli.Int64Flag{Name: "answer-bytes", Value: 1000, Usage: "body size of short responses"},
		&cli.Int64Flag{Name: "long-answer-bytes", Value: 100_000, Usage: "body size of long responses"},
		&cli.DurationFlag{Name: "timeout", Value: 2 * time.Second, Usage: "deadline of short requests"},
		&cli.DurationFlag{Name: "long-timeout", Value: 20 * time.Second, Usage: "deadline of long requests"},
		&cli.IntFlag{Name: "resends", Value: 2, Usage: "maximum resends of a keyed request with an unknown outcome"},
		&cli.BoolFlag{Name: "faults", Usage: "processes are stopped during the load, so broken connections are not violations"},
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
	if directory := command.String("out"); directory != "" {
		if err := writeReport(directory, report); err != nil {
			return err
		}
	}
	if counts := report.Counts; command.Bool("all-answered") && counts.Answered < counts.Sent {
		return fmt.Errorf("%d of %d requests were not answered; see the kinds above", counts.Sent-counts.Answered, counts.Sent)
	}
	return report.Violation()
}

func planOf(command *cli.Command) (generator.Plan, error) {
	places, err := placesOf(command.StringSlice("place"))
	plan := generator.Plan{
		Policy:          command.String("policy"),
		Scene:           command.String("scene"),
		Label:           command.String("label"),
		Seed:            command.Uint64("seed"),
		DurationMs:      milliseconds(command.Duration("duration")),
		WarmupMs:        milliseconds(command.Duration("warmup")),
		Rate:            command.Float("rate"),
		SwingLow:        command.Float("swing-low"),
		SwingHigh:       command.Float("swing-high"),
		SwingMs:         milliseconds(command.Duration("swing")),
		Services:        command.StringSlice("service"),
		Callers:         command.Int("callers"),
		Places:          places,
		ShortMs:         milliseconds(command.Duration("short")),
		LongMs:          milliseconds(command.Duration("long")),
		LongShare:       command.Float("long-share"),
		PostShare:       command.Float("post-share"),
		KeyedShare:      command.Float("keyed-share"),
		RequestBytes:    command.Int64("request-bytes"),
		AnswerBytes:     command.Int64("answer-bytes"),
		LongAnswerBytes: command.Int64("long-answer-bytes"),
		TimeoutMs:       milliseconds(command.Duration("timeout")),
		LongTimeoutMs:   milliseconds(command.Duration("long-timeout")),
		Resends:         command.Int("resends"),
		Faults:          command.Bool("faults"),
	}
	if slots := command.Int("slots"); slots > 0 {
		plan.Capacity = plan.CapacityOf(slots, command.Float("slow-share"), command.Float("slow-factor"))
		plan.Rate = command.Float("load") * plan.Capacity
	}
	if command.Bool("without-long") {
		plan.Rate *= 1 - plan.LongShare
		plan.LongShare = 0
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

// writeReport writes a report and its plots into directory.
func writeReport(directory string, report *generator.Report) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return fmt.Errorf("create the directory of --out: %w", err)
	}
	base := filepath.Join(directory, report.Plan.Label)
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
