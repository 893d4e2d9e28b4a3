package emulator

import "sync"

// Runs counts how often one request ran at an endpoint.
type Runs struct {
	Started  int `json:"started"`
	Finished int `json:"finished"`
}

// Journal notes the ids of the requests that ran. The zero value is empty. It
// is safe for use by several goroutines.
type Journal struct {
	// mu guards runs.
	mu   sync.Mutex
	runs map[string]Runs
}

// start notes that the request with id started to run.
func (journal *Journal) start(id string) { journal.add(id, Runs{Started: 1}) }

// finish notes that the request with id ran to its end.
func (journal *Journal) finish(id string) { journal.add(id, Runs{Finished: 1}) }

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
