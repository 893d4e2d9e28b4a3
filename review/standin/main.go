//go:build review

// Command standin runs one case of the review: it starts gateways by the deploy
// file's command, with stand-ins for the store, endpoints and clients, and checks one
// rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(fleet *fleet, trouble bool) ([]string, error){
	"hang-up":   hangUp,
	"late-copy": lateCopy,
	"deadly":    deadly,
	"storm":     storm,
	"upload":    upload,
}

func main() {
	name := flag.String("case", "", "the case")
	path := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *path))
}

func play(name, path string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin: no such case:", name)
		return 2
	}
	record, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	defer record.file.Close()
	fleet, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stops
		fleet.stop()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case %s, with its disruption: %v", name, trouble)
	broken, err := run(fleet, trouble)
	fleet.stop()
	if err != nil {
		record.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	for _, line := range broken {
		record.add("BROKEN %s", line)
		fmt.Println("broken:", line)
	}
	if len(broken) > 0 {
		return 1
	}
	record.add("the rule held")
	fmt.Println("the rule held")
	return 0
}
