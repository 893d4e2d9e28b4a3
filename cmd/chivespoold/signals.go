package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// signals are the signals that the process handles. They are caught from its start to
// its end: the default action, which ends the process and cuts its requests, never
// returns while the process stops.
type signals struct {
	// stop is done after the first SIGINT or SIGTERM. Further SIGTERMs are ignored,
	// since requests are still in flight. A second SIGINT, such as another Ctrl-C,
	// terminates the process.
	stop context.Context
	// hangups receives SIGHUP; it holds one, which stands for those that follow until it
	// is taken.
	hangups chan os.Signal
}

// catchSignals catches the signals. SIGPIPE is ignored, so that a log output that has
// been closed fails a write and not the process.
func catchSignals(parent context.Context) *signals {
	signals := &signals{hangups: make(chan os.Signal, 1)}
	signal.Notify(signals.hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	signals.stop, _ = signal.NotifyContext(parent, syscall.SIGINT, syscall.SIGTERM)
	context.AfterFunc(signals.stop, func() { signal.Reset(syscall.SIGINT) })
	return signals
}
