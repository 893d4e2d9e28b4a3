//go:build review3

// Command stand3 runs the cases of the third review that are scripts. It holds the
// stand-ins of the platform's store, the endpoints and the clients, and starts the
// gateways as separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases holds the function of each case by name.
var cases = map[string]func(*bench) (broken bool, err error){
	"aborted-uploads":  abortedUploads,
	"drained-check":    drainedCheck,
	"deadly-neighbour": deadlyNeighbour,
	"long-health":      longHealth,
	"bad-release":      badRelease,
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE DAEMON RECORD")
		return exitNotRun
	}
	execute, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		return exitNotRun
	}
	bench, err := newBench(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	defer bench.close()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupts
		bench.close()
		os.Exit(exitNotRun)
	}()
	broken, err := execute(bench)
	if err != nil {
		bench.note("could not run: %v", err)
		return exitNotRun
	}
	if broken {
		bench.note("the rule was BROKEN")
		return exitBroken
	}
	bench.note("the rule HELD")
	return exitHeld
}
