package soaker

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// pipelineChance is the probability that a caller sends more than one request
	// without waiting for answers, and maxPipelined bounds their number.
	pipelineChance = 0.15
	maxPipelined   = 3
	// lateChance is the probability that a slow caller sends the first request of a
	// connection late, and maxFirstDelay bounds the delay.
	lateChance    = 0.5
	maxFirstDelay = 4 * time.Second
	// chunkedChance is the probability that a body is sent in chunks, and maxChunks
	// bounds their number.
	chunkedChance = 0.5
	maxChunks     = 5
	// maxHeadTime and maxBodyTime bound the time over which a slow caller sends a
	// head and a body, and maxSendTime both. Each is sent in up to maxParts parts.
	maxHeadTime = time.Second
	maxBodyTime = 3 * time.Second
	maxSendTime = maxHeadTime + maxBodyTime
	maxParts    = 4
)

// pipelined returns how many requests to send behind the next one.
func (caller *caller) pipelined() int {
	if caller.random.Float64() >= pipelineChance {
		return 0
	}
	return 1 + caller.random.IntN(maxPipelined-1)
}

// firstRequestDelay returns how long to keep a new connection without a request.
func (caller *caller) firstRequestDelay() time.Duration {
	if !caller.slow || caller.random.Float64() >= lateChance {
		return 0
	}
	return caller.durationUpTo(maxFirstDelay)
}

// deadline returns the deadline of the next requests.
func (caller *caller) deadline() time.Duration {
	if !caller.slow {
		return usualDeadline
	}
	return minSlowDeadline + caller.durationUpTo(maxSlowDeadline-minSlowDeadline).Truncate(time.Millisecond)
}

func (caller *caller) durationUpTo(bound time.Duration) time.Duration {
	return time.Duration(caller.random.Int64N(int64(bound)))
}

// upload is the way in which a request is sent.
type upload struct {
	// chunks is the number of chunks of the body; 0 sends it by length.
	chunks int
	// parts is the number of parts in which the head, and the body, are written.
	parts int
	// headTime and bodyTime are the times over which they are written.
	headTime, bodyTime time.Duration
}

// newUpload returns a random way to send a request.
func (caller *caller) newUpload() upload {
	upload := upload{parts: 1}
	if caller.random.Float64() < chunkedChance {
		upload.chunks = 1 + caller.random.IntN(maxChunks)
	}
	if caller.slow {
		upload.parts = 1 + caller.random.IntN(maxParts)
		upload.headTime, upload.bodyTime = caller.durationUpTo(maxHeadTime), caller.durationUpTo(maxBodyTime)
	}
	return upload
}

// pauser waits between two parts of a request. It returns an error if no part may
// follow.
type pauser interface {
	pause(duration time.Duration) error
}

// write writes a request to conn.
func (upload upload) write(conn net.Conn, pauser pauser, request *http.Request, body string) error {
	if upload.chunks > 0 && body != "" {
		var chunks []io.Reader
		for _, chunk := range divide(body, upload.chunks) {
			chunks = append(chunks, strings.NewReader(chunk))
		}
		request.Body, request.ContentLength = io.NopCloser(io.MultiReader(chunks...)), -1
	}
	var message bytes.Buffer
	if err := request.Write(&message); err != nil {
		return fmt.Errorf("encode a request: %w", err)
	}
	const headEnd = "\r\n\r\n"
	head, rest, _ := strings.Cut(message.String(), headEnd)
	if err := upload.writeParts(conn, pauser, head+headEnd, upload.headTime); err != nil {
		return err
	}
	return upload.writeParts(conn, pauser, rest, upload.bodyTime)
}

// writeParts writes text in parts, with equal pauses that take duration together.
func (upload upload) writeParts(conn net.Conn, pauser pauser, text string, duration time.Duration) error {
	for index, part := range divide(text, upload.parts) {
		if index > 0 {
			if err := pauser.pause(duration / time.Duration(upload.parts-1)); err != nil {
				return err
			}
		}
		if _, err := io.WriteString(conn, part); err != nil {
			return err
		}
	}
	return nil
}

// divide divides text into up to count parts of the same size, which are not
// empty.
func divide(text string, count int) []string {
	var parts []string
	for ; text != ""; count-- {
		size := (len(text) + count - 1) / count
		parts = append(parts, text[:size])
		text = text[size:]
	}
	return parts
}
