package emulator

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"

	"k8s.io/klog/v2"
)

// Runs counts how often one request started and finished.
type Runs struct {
	Started  int `json:"started"`
	Finished int `json:"finished"`
}

// Journal records the ids of the requests that ran. The zero value is empty. It
// is safe for concurrent use.
type Journal struct {
	// mu guards all fields below.
	mu   sync.Mutex
	runs map[string]Runs
	// sink, if set, receives a line for each start and end.
	sink io.Writer
}

// The first words of the lines of a journal's copy; an id follows each.
const (
	wordStart  = "start"
	wordFinish = "finish"
)

// CopyTo also writes all further records to sink, so that they survive the
// process.
func (journal *Journal) CopyTo(sink io.Writer) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.sink = sink
}

// Restore adds the records that an earlier process wrote.
func (journal *Journal) Restore(source io.Reader) error {
	lines := bufio.NewScanner(source)
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

// start records that the request with id started to run.
func (journal *Journal) start(id string) {
	journal.add(id, Runs{Started: 1})
	journal.write(wordStart, id)
}

// finish records that the request with id ran to its end.
func (journal *Journal) finish(id string) {
	journal.add(id, Runs{Finished: 1})
	journal.write(wordFinish, id)
}

func (journal *Journal) write(word, id string) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if journal.sink == nil {
		return
	}
	if _, err := fmt.Fprintf(journal.sink, "%s %s\n", word, id); err != nil {
		klog.ErrorS(err, "cannot append to the copy of the journal; free disk space")
	}
}

func (journal *Journal) add(id string, added Runs) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if journal.runs == nil {
		journal.runs = make(map[string]Runs)
	}
	runs := journal.runs[id]
	runs.Started += added.Started
	runs.Finished += added.Finished
	journal.runs[id] = runs
}

// of returns the counts of the request with id.
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

// clear removes all records.
func (journal *Journal) clear() {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.runs = nil
}
