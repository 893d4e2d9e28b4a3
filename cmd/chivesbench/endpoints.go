package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

func endpointsCommand() *cli.Command {
	return &cli.Command{
		Name:  "endpoints",
		Usage: "show the state and number of runs of each endpoint of a backend process",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "admin", Value: "127.0.0.1:7903", Usage: "IP:port of the backend's admin address"},
		},
		Action: runEndpoints,
	}
}

func runEndpoints(ctx context.Context, command *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+command.String("admin")+"/endpoints", nil)
	if err != nil {
		return fmt.Errorf("--admin: write it as IP:port: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("query the backend, check that it is running: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Endpoints []struct {
			Name  string  `json:"name"`
			State string  `json:"state"`
			Runs  int     `json:"runs"`
			RunMs float64 `json:"run-ms"`
		} `json:"endpoints"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return fmt.Errorf("decode the endpoints: %w", err)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ENDPOINT\tSTATE\tRUNS\tMEAN RUN, MS")
	for _, endpoint := range answer.Endpoints {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\n", endpoint.Name, endpoint.State, endpoint.Runs, endpoint.RunMs)
	}
	return table.Flush()
}
