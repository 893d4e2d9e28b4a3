package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/chivespool/chivespool/internal/generator"
)

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "set the reports of loads side by side, by scene and policy",
		ArgsUsage: "REPORT.json...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "out", Usage: "folder for bench.json and a plot of each scene"},
		},
		Action: runCompare,
	}
}

func runCompare(_ context.Context, command *cli.Command) error {
	var comparison generator.Comparison
	for _, path := range command.Args().Slice() {
		report, err := readReport(path)
		if err != nil {
			return err
		}
		comparison.Add(report)
	}
	rows := comparison.Rows()
	if err := generator.WriteRows(os.Stdout, rows); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return writeComparison(command.String("out"), &comparison, rows)
}

func readReport(path string) (*generator.Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read a report, give files that load --out wrote: %w", err)
	}
	var report generator.Report
	if err := json.Unmarshal(data, &report); err != nil {
		return nil, fmt.Errorf("decode %s, give files that load --out wrote: %w", path, err)
	}
	return &report, nil
}

func writeComparison(folder string, comparison *generator.Comparison, rows []generator.Row) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("make the folder of --out: %w", err)
	}
	data, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the rows: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, "bench.json"), append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write the rows: %w", err)
	}
	for _, scene := range comparison.Scenes() {
		if err := writePlot(filepath.Join(folder, "bench."+scene+".svg"), comparison.Plot(scene)); err != nil {
			return err
		}
	}
	return nil
}
