package emulator

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"

	"k8s.io/klog/v2"
)

// Runs counts how often one request ran at an endpoint.
type Runs struct {
	Started  int `json:"started"`
	Finished int `json:"finished"`
}

// Journal notes the ids of the requests that ran. The zero value is empty. It
// is safe for use by several goroutines.
type Journal struct {
	// mu guards all fields below.
	mu   sync.Mutex
	runs map[string]Runs
	// kept gets a line for each start and end, if it is set.
	kept io.Writer
}

// The words of a journal's copy, each before an id.
const (
	wordStart  = "start"
	wordFinish = "finish"
)

// Keep writes what the journal notes from now on to kept as well, so that it
// outlives the process.
func (journal *Journal) Keep(kept io.Writer) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.kept = kept
}

// Restore adds what an earlier process kept.
func (journal *Journal) Restore(kept io.Reader) error {
	lines := bufio.NewScanner(kept)
	for lines.Scan() {
		switch word, id, _ := strings.Cut(lines.Text(), " "); word {
		case wordStart:
			journal.add(id, Runs{Started: 1})
		case wordFinish:
			journal.add(id, Runs{Finished: 1})
		}
	}
	return lines.Err()
}

// start notes that the request with id started to run.
func (journal *Journal) start(id string) {
	journal.add(id, Runs{Started: 1})
	journal.write(wordStart, id)
}

// finish notes that the request with id ran to its end.
func (journal *Journal) finish(id string) {
	journal.add(id, Runs{Finished: 1})
	journal.write(wordFinish, id)
}

func (journal *Journal) write(word, id string) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if journal.kept == nil {
		return
	}
	if _, err := fmt.Fprintf(journal.kept, "%s %s\n", word, id); err != nil {
		klog.ErrorS(err, "the journal's copy is not whole; free space for it")
	}
}

func (journal *Journal) add(id string, more Runs) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if journal.runs == nil {
		journal.runs = make(map[string]Runs)
	}
	runs := journal.runs[id]
	runs.Started += more.Started
	runs.Finished += more.Finished
	journal.runs[id] = runs
}

// of returns how often the request with id ran.
func (journal *Journal) of(id string) Runs {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	return journal.runs[id]
}

// addTo adds the journal's counts to total.
func (journal *Journal) addTo(total map[string]Runs) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	for id, runs := range journal.runs {
		sum := total[id]
		sum.Started += runs.Started
		sum.Finished += runs.Finished
		total[id] = sum
	}
}

// clear forgets all requests.
func (journal *Journal) clear() {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.runs = nil
}
