package generator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/chivespool/chivespool/internal/emulator"
)

// auditTimeout limits the time to read one journal.
const auditTimeout = 10 * time.Second

// Audit reads the journals of the backend servers at the given base URLs and
// counts the requests that ran twice, or ran although the caller was told that
// they had not.
func (report *Report) Audit(ctx context.Context, journals []string) error {
	total := make(map[string]emulator.Runs)
	for _, journal := range journals {
		if err := readJournal(ctx, journal, total); err != nil {
			return err
		}
	}
	report.compareRuns(total)
	return nil
}

// compareRuns compares the outcome of each request with how often it ran.
func (report *Report) compareRuns(runs map[string]emulator.Runs) {
	for id, result := range report.results {
		started := runs[id].Started
		repeatable := result.work.class == classRead || result.work.class == classLong
		if started > 1 && !repeatable {
			report.Counts.RanTwice++
		}
		if started > 0 && result.notRun {
			report.Counts.RefusedButRan++
		}
	}
}

// readJournal adds the runs in the journal at the base URL journal to total.
func readJournal(ctx context.Context, journal string, total map[string]emulator.Runs) error {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(journal, "/")+"/journal", nil)
	if err != nil {
		return fmt.Errorf("invalid journal URL, specify the base URL of a backend's admin address: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("read the journal, check that the backend runs: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var runs map[string]emulator.Runs
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		return fmt.Errorf("decode the journal at %s: %w", journal, err)
	}
	for id, count := range runs {
		sum := total[id]
		sum.Started += count.Started
		sum.Finished += count.Finished
		total[id] = sum
	}
	return nil
}
