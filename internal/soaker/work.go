package soaker

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/chivespool/chivespool/internal/emulator"
)

const (
	// longWorkChance is the probability that an endpoint works for long on a request
	// of a slow caller, and maxWork bounds its work.
	longWorkChance = 0.6
	maxWork        = 3400 * time.Millisecond
	// maxAnswerParts bounds the number of parts in which an answer is sent over the
	// time of the work.
	maxAnswerParts = 4
	// The parameters of a request's query that state the work that it takes.
	workParameter, partsParameter = "work", "parts"
)

// work is what a request asks of its endpoint. The zero value asks for the usual
// work and an answer at its end.
type work struct {
	// duration is how long the endpoint works; 0 for the usual time.
	duration time.Duration
	// parts is the number of parts in which the answer is sent while the endpoint
	// works; with 0, it is sent at the end and with its length.
	parts int
}

// newWork returns the work of a slow caller's request.
func (caller *caller) newWork() work {
	var work work
	if caller.random.Float64() < longWorkChance {
		work.duration = time.Millisecond + caller.durationUpTo(maxWork)
		work.parts = caller.random.IntN(maxAnswerParts + 1)
	}
	return work
}

// addTo returns target with a query that asks for the work.
func (work work) addTo(target string) string {
	if work.duration == 0 {
		return target
	}
	separator := "?"
	if strings.Contains(target, separator) {
		separator = "&"
	}
	return fmt.Sprintf("%s%s%s=%v&%s=%d", target, separator, workParameter, work.duration, partsParameter, work.parts)
}

// workOf returns the work for which a request's target asks.
func workOf(target string) work {
	_, query, _ := strings.Cut(target, "?")
	values, _ := url.ParseQuery(query) // Without a valid query, the work is the usual one.
	duration, _ := time.ParseDuration(values.Get(workParameter))
	parts, _ := strconv.Atoi(values.Get(partsParameter))
	return work{duration: duration, parts: parts}
}

// beforeAnswer returns how long the endpoint works on the request with id before
// it begins to answer.
func (work work) beforeAnswer(id string) time.Duration {
	if work.duration == 0 {
		return serviceTime(id)
	}
	return work.duration / time.Duration(max(work.parts, 1))
}

// workHandler sends the answers of a stub endpoint over the time of the work, and
// records when its runs end.
type workHandler struct {
	stub    *stub
	handler http.Handler
}

// runKey is the key of the index of a run in the context of its request.
type runKey struct{}

// ServeHTTP serves a request or a health check.
func (workHandler *workHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	index := noRun
	request = request.WithContext(context.WithValue(request.Context(), runKey{}, &index))
	defer func() { workHandler.stub.journal.endRun(index, request.Context().Err() == nil) }()
	if work := workOf(request.RequestURI); work.parts > 0 {
		writer = &partsWriter{ResponseWriter: writer, ctx: request.Context(), work: work}
	}
	workHandler.handler.ServeHTTP(writer, request)
}

// partsWriter writes an answer in parts, with pauses between them.
type partsWriter struct {
	http.ResponseWriter
	ctx  context.Context
	work work
}

// WriteHeader sends the head at once. The answer has no length.
func (partsWriter *partsWriter) WriteHeader(status int) {
	partsWriter.Header().Del("Content-Length")
	partsWriter.ResponseWriter.WriteHeader(status)
}

// Write writes body in parts.
func (partsWriter *partsWriter) Write(body []byte) (int, error) {
	written := 0
	for index, part := range divide(string(body), partsWriter.work.parts) {
		if index > 0 {
			if err := emulator.Pause(partsWriter.ctx, partsWriter.work.duration/time.Duration(partsWriter.work.parts)); err != nil {
				return written, err
			}
		}
		count, err := partsWriter.ResponseWriter.Write([]byte(part))
		written += count
		if err != nil {
			return written, err
		}
		if err := http.NewResponseController(partsWriter.ResponseWriter).Flush(); err != nil {
			return written, err
		}
	}
	return written, nil
}
