package placer

import "time"

// Began notes that a request was sent to the endpoint called name.
func (placer *Placer) Began(name string) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	placer.record(name).running++
}

// Ended notes that a request that was sent to the endpoint has ended.
func (placer *Placer) Ended(name string) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	placer.record(name).running--
}

// Answered learns from a whole answer: how long the request ran for at the
// pace it was chosen by, and how many bytes the answer had.
func (placer *Placer) Answered(now time.Time, name string, want Want, run time.Duration, pace float64, bytes int64) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	found := placer.record(name)
	found.trouble = placer.trouble(now, name) * (1 - learningShare)
	found.troubleAt = now
	found.failures = 0
	learned := placer.class(want)
	learned.work += learningShare * (float64(run)/max(pace, 1) - learned.work)
	learned.bytes += learningShare * (float64(bytes) - learned.bytes)
}

// Broke learns that the endpoint broke a request; weight says how sure that is,
// from 0 to 1.
func (placer *Placer) Broke(now time.Time, name string, weight float64) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	found := placer.record(name)
	found.trouble = min(placer.trouble(now, name)+weight, troubleMost)
	found.troubleAt = now
}

// Missed learns that the endpoint could not be reached.
func (placer *Placer) Missed(now time.Time, name string) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	found := placer.record(name)
	found.out = now.Add(min(outLeast<<min(found.failures, 8), outMost))
	found.failures++
}

// Reached learns that the endpoint answered a health check.
func (placer *Placer) Reached(name string) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	if found, ok := placer.records[name]; ok {
		found.failures = 0
		found.out = time.Time{}
	}
}

// Forget drops what is remembered of endpoints that are not among known.
func (placer *Placer) Forget(known map[string]bool) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	for name, record := range placer.records {
		if !known[name] && record.running == 0 {
			delete(placer.records, name)
		}
	}
}
