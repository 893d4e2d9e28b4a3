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
		Usage:     "compare load reports by scene and policy",
		ArgsUsage: "REPORT.json...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "out", Usage: "directory for bench.json and a plot of each scene"},
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
		return nil, fmt.Errorf("read a report, specify files written by load --out: %w", err)
	}
	var report generator.Report
	if err := json.Unmarshal(data, &report); err != nil {
		return nil, fmt.Errorf("decode %s, specify files written by load --out: %w", path, err)
	}
	return &report, nil
}

func writeComparison(directory string, comparison *generator.Comparison, rows []generator.Row) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return fmt.Errorf("create the directory of --out: %w", err)
	}
	data, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the rows: %w", err)
	}
	if err := os.WriteFile(filepath.Join(directory, "bench.json"), append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write the rows: %w", err)
	}
	for _, scene := range comparison.Scenes() {
		if err := writePlot(filepath.Join(directory, "bench."+scene+".svg"), comparison.Plot(scene)); err != nil {
			return err
		}
	}
	return nil
}
