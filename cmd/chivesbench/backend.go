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
		Usage: "stand in for the endpoints of backend servers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "admin", Value: "127.0.0.1:7903", Usage: "IP:port for switches and the journal"},
			&cli.StringSliceFlag{Name: "endpoint", Usage: "name=IP:port of an endpoint; repeat for more"},
			&cli.IntFlag{Name: "count", Usage: "endpoints NAME-1, NAME-2 and so on, on consecutive ports"},
			&cli.StringFlag{Name: "name", Value: "endpoint", Usage: "name of the endpoints of --count"},
			&cli.StringFlag{Name: "first", Value: "127.0.0.1:8001", Usage: "IP:port of the first endpoint of --count"},
			&cli.StringFlag{Name: "journal", Usage: "file that keeps the journal over a kill of the process"},
			&cli.DurationFlag{Name: "drain", Value: time.Second, Usage: "how long a stop refuses requests before it closes"},
			&cli.IntFlag{Name: "slots", Value: defaults.Slots, Usage: "requests that run at once"},
			&cli.IntFlag{Name: "queue", Value: defaults.Queue, Usage: "requests that may wait for a slot"},
			&cli.DurationFlag{Name: "queue-wait", Value: 10 * time.Millisecond, Usage: "how long a request waits for a slot"},
			&cli.IntFlag{Name: "cold-requests", Usage: "how many requests are slow after a start"},
			&cli.DurationFlag{Name: "slow-every", Usage: "mean time between slow spells; 0 for none"},
			&cli.DurationFlag{Name: "slow-for", Value: 100 * time.Millisecond, Usage: "how long a slow spell lasts"},
			&cli.FloatFlag{Name: "slow-factor", Value: defaults.SlowFactor, Usage: "how many times longer work is in a slow spell"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the slow spells"},
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
		// Each line is one write to a file that only grows, so that lines of
		// several endpoints don't mix and a kill loses none.
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
	klog.InfoS("stand-in listens", "name", "backend", "endpoints", len(endpoints), "admin", listener.Address())
	return tree.Run(ctx)
}

func backendSettings(command *cli.Command) emulator.BackendSettings {
	settings := emulator.DefaultBackendSettings()
	settings.Slots = command.Int("slots")
	settings.Queue = command.Int("queue")
	settings.QueueWaitMs = inMilliseconds(command.Duration("queue-wait"))
	settings.ColdRequests = command.Int("cold-requests")
	settings.SlowEveryMs = inMilliseconds(command.Duration("slow-every"))
	settings.SlowForMs = inMilliseconds(command.Duration("slow-for"))
	settings.SlowFactor = command.Float("slow-factor")
	settings.Seed = command.Uint64("seed")
	return settings
}

func inMilliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// endpointAddress is an endpoint to serve.
type endpointAddress struct {
	name    string
	address string
}

// endpointsOf reads the flags endpoint, and count with name and first.
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
		return nil, fmt.Errorf("no endpoint: give --endpoint or --count")
	}
	return endpoints, nil
}
