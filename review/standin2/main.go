//go:build review2

package main

import (
	"fmt"
	"os"
)

// The exit statuses of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases holds the cases by the number of their folder. Each returns an exit status;
// trouble is false where the disruption is left out.
var cases = map[string]func(recorder *recorder, trouble bool) (int, error){
	"6": uploadAtStop,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 NUMBER FOLDER")
		os.Exit(couldNot)
	}
	recorder, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	recorder.add("case %s, trouble %v", os.Args[1], trouble)
	status, err := cases[os.Args[1]](recorder, trouble)
	if err != nil {
		recorder.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		status = couldNot
	}
	recorder.add("exit status %d", status)
	os.Exit(status)
}
