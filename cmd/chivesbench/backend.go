package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/internal/supervisor"
)

func backendCommand() *cli.Command {
	defaults := emulator.DefaultBackendSettings()
	return &cli.Command{
		Name:  "backend",
		Usage: "run stub endpoints of backend servers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "admin", Value: "127.0.0.1:7903", Usage: "IP:port of the admin API: faults and the journal"},
			&cli.StringSliceFlag{Name: "endpoint", Usage: "name=IP:port of an endpoint; repeat for more"},
			&cli.IntFlag{Name: "count", Usage: "number of endpoints named NAME-1, NAME-2 and so on, on consecutive ports"},
			&cli.StringFlag{Name: "name", Value: "endpoint", Usage: "prefix of the names of the --count endpoints"},
			&cli.StringFlag{Name: "first", Value: "127.0.0.1:8001", Usage: "IP:port of the first of the --count endpoints"},
			&cli.StringFlag{Name: "journal", Usage: "file for the journal, so that it survives a kill of the process"},
			&cli.DurationFlag{Name: "drain", Value: time.Second, Usage: "how long requests are refused at a stop before the listeners close"},
			&cli.IntFlag{Name: "slots", Value: defaults.Slots, Usage: "maximum concurrent requests"},
			&cli.IntFlag{Name: "queue", Value: defaults.Queue, Usage: "maximum requests waiting for a slot"},
			&cli.DurationFlag{Name: "queue-wait", Value: 10 * time.Millisecond, Usage: "maximum wait for a slot"},
			&cli.IntFlag{Name: "cold-requests", Usage: "number of slow requests after a start"},
			&cli.DurationFlag{Name: "slow-every", Usage: "mean time between slow periods; 0 for none"},
			&cli.DurationFlag{Name: "slow-for", Value: 100 * time.Millisecond, Usage: "length of a slow period"},
			&cli.FloatFlag{Name: "slow-factor", Value: defaults.SlowFactor, Usage: "factor by which work takes longer in a slow period"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the slow periods"},
		},
		Action: runBackends,
	}
}

func runBackends(ctx context.Context, command *cli.Command) error {
	endpoints, err := endpointsOf(command)
	if err != nil {
		return err
	}
	var backendGroup emulator.BackendGroup
	var tree supervisor.Tree
	for index, endpoint := range endpoints {
		settings := backendSettings(command)
		settings.Seed += uint64(index)
		backend := emulator.NewBackend(endpoint.name, settings)
		backendGroup.Add(backend)
		tree.Add(endpoint.name, emulator.NewBackendTask(backend, endpoint.address))
	}
	listener, err := emulator.Listen(command.String("admin"), backendGroup.Handler())
	if err != nil {
		return err
	}
	if path := command.String("journal"); path != "" {
		// Each line is one write in append mode, so that lines of different
		// endpoints don't interleave and a kill loses none.
		journal, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
		if err != nil {
			return fmt.Errorf("--journal: %w", err)
		}
		defer func() { _ = journal.Close() }()
		if err := backendGroup.PersistJournals(journal); err != nil {
			return err
		}
	}
	backendGroup.SetDrain(command.Duration("drain"))
	tree.Add("admin", listener)
	tree.Add("park", &backendGroup)
	klog.InfoS("emulated service is listening", "name", "backend", "endpoints", len(endpoints), "admin", listener.Address())
	return tree.Run(ctx)
}

func backendSettings(command *cli.Command) emulator.BackendSettings {
	settings := emulator.DefaultBackendSettings()
	settings.Slots = command.Int("slots")
	settings.Queue = command.Int("queue")
	settings.QueueWaitMs = milliseconds(command.Duration("queue-wait"))
	settings.ColdRequests = command.Int("cold-requests")
	settings.SlowEveryMs = milliseconds(command.Duration("slow-every"))
	settings.SlowForMs = milliseconds(command.Duration("slow-for"))
	settings.SlowFactor = command.Float("slow-factor")
	settings.Seed = command.Uint64("seed")
	return settings
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// endpointAddress is the name and address of an endpoint to serve.
type endpointAddress struct {
	name    string
	address string
}

// endpointsOf returns the endpoints of the flag endpoint and those of count, name
// and first.
func endpointsOf(command *cli.Command) ([]endpointAddress, error) {
	var endpoints []endpointAddress
	for _, text := range command.StringSlice("endpoint") {
		name, address, ok := strings.Cut(text, "=")
		if !ok {
			return nil, fmt.Errorf("--endpoint %q: write it as name=IP:port", text)
		}
		endpoints = append(endpoints, endpointAddress{name: name, address: address})
	}
	first, err := netip.ParseAddrPort(command.String("first"))
	if err != nil {
		return nil, fmt.Errorf("--first: write it as IP:port: %w", err)
	}
	for index := range command.Int("count") {
		endpoints = append(endpoints, endpointAddress{
			name:    fmt.Sprintf("%s-%d", command.String("name"), index+1),
			address: netip.AddrPortFrom(first.Addr(), first.Port()+uint16(index)).String(),
		})
	}
	if len(endpoints) == 0 {
		return nil, fmt.Errorf("no endpoint: specify --endpoint or --count")
	}
	return endpoints, nil
}
