package placer

import (
	"maps"
	"time"
)

// RecordStart records that a request was sent to the endpoint called name.
func (placer *Placer) RecordStart(name string) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	placer.record(name).running++
}

// RecordEnd records that a request sent to the endpoint has ended.
func (placer *Placer) RecordEnd(name string) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	placer.record(name).running--
}

// RecordAnswer records a complete answer with the run time of the request, the
// forecast with which the endpoint was chosen, and the answer's size in bytes.
func (placer *Placer) RecordAnswer(now time.Time, name string, request Request, run time.Duration, forecast Forecast, bytes int64) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	record := placer.record(name)
	record.failureScore = placer.failureScore(now, name) * (1 - learningRate)
	record.scoredAt = now
	record.connectFailures = 0
	class := placer.class(request)
	placer.learn(class, forecast, run)
	class.tail.Record(run, time.Duration(forecast.run))
	class.answerBytes += learningRate * (float64(bytes) - class.answerBytes)
}

// RecordFailure records that a request failed at the endpoint. The weight, from 0
// to 1, is the likelihood that the endpoint caused the failure.
func (placer *Placer) RecordFailure(now time.Time, name string, weight float64) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	record := placer.record(name)
	record.failureScore = min(placer.failureScore(now, name)+weight, maxFailureScore)
	record.scoredAt = now
}

// RecordUnreachable records that the endpoint could not be reached, and ejects it.
func (placer *Placer) RecordUnreachable(now time.Time, name string) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	record := placer.record(name)
	record.ejectedUntil = now.Add(min(minEjection<<min(record.connectFailures, 8), maxEjection))
	record.connectFailures++
}

// RecordReachable records that the endpoint answered a probe, and ends its ejection.
func (placer *Placer) RecordReachable(name string) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	if record, ok := placer.records[name]; ok {
		record.connectFailures = 0
		record.ejectedUntil = time.Time{}
	}
}

// Forget drops the records of endpoints that are not in known and run no
// request of this host.
func (placer *Placer) Forget(known map[string]bool) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	for name, record := range placer.records {
		if !known[name] && record.running == 0 {
			delete(placer.records, name)
		}
	}
	maps.DeleteFunc(placer.subset.ranks, func(name string, _ rank) bool { return !known[name] })
}
