package logger

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestNeverBlocks checks that logging does not block when the output blocks.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, writer := io.Pipe()
		log := New(writer)
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		wait.Go(func() { _ = log.Run(ctx) })
		const lines = 3 * queueLines
		for range lines {
			if _, err := log.Write([]byte("a line\n")); err != nil {
				t.Fatal(err)
			}
		}
		if dropped := log.dropped.Load(); dropped < lines-queueLines-queueLines {
			t.Errorf("%d lines were dropped, want at least %d", dropped, lines-2*queueLines)
		}
		cancel()
		_ = reader.Close()
		wait.Wait()
		_ = log.Close()
	})
}

// TestBudget checks that routine lines are sampled, that the dropped ones are
// counted, and that problems are still logged.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		log := New(&output)
		ctx, cancel := context.WithCancel(t.Context())
		for range 5 {
			for range routineLines {
				log.Routine("answered", "request", "r-1")
			}
			time.Sleep(time.Second / 5)
		}
		log.Failure("refused", "request", "r-2")
		cancel()
		_ = log.Run(ctx)
		text := output.String()
		if got := strings.Count(text, `"answered"`); got < routineLines || got > 2*routineLines+1 {
			t.Errorf("%d routine lines in a second, want at least %d and at most one second's worth more", got, routineLines)
		}
		if !strings.Contains(text, `"refused" request="r-2"`) || !strings.Contains(text, `"log lines dropped"`) {
			t.Errorf("the problem or the count of dropped lines is missing:\n%s", text[len(text)-300:])
		}
	})
}

// failingOutput is an output that fails while failing is true.
type failingOutput struct {
	bytes.Buffer
	failing bool
}

func (failingOutput *failingOutput) Write(lines []byte) (int, error) {
	if failingOutput.failing {
		return 0, io.ErrClosedPipe
	}
	return failingOutput.Buffer.Write(lines)
}

// TestOutputFails checks that a log goes on when its output fails, and counts the lines
// that were lost. Once, the failure ended the process.
func TestOutputFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &failingOutput{failing: true}
		log := New(output)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- log.Run(ctx) }()
		const lost = 20
		for range lost {
			_, _ = log.Write([]byte("lost\n"))
			synctest.Wait()
		}
		if dropped := log.dropped.Load(); dropped != lost {
			t.Errorf("%d lines count as dropped, want %d", dropped, lost)
		}
		output.failing = false
		_, _ = log.Write([]byte("written\n"))
		synctest.Wait()
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("the log ended by %v", err)
		}
		if !strings.Contains(output.String(), "written") {
			t.Error("the line after the failure is missing")
		}
	})
}

// TestLongLines checks that the queue of a blocked output is bounded in bytes: a request
// id of a caller may be as long as a header.
func TestLongLines(t *testing.T) {
	log := New(io.Discard)
	line := bytes.Repeat([]byte("x"), 64<<10)
	for range queueLines {
		_, _ = log.Write(line)
	}
	if held := len(log.queue) * len(line); held > queueBytes || held < queueBytes/2 {
		t.Errorf("the queue holds %d bytes, want at most %d", held, queueBytes)
	}
}
