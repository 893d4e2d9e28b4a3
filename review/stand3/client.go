//go:build review3

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// result is what a client saw of one attempt.
type result struct {
	id string
	// status is 0 if there was no complete answer.
	status int
	signed bool
	took   time.Duration
	err    error
}

// String describes the result for the record.
func (result result) String() string {
	if result.err != nil {
		return fmt.Sprintf("%s: no answer after %v: %v", result.id, result.took.Round(time.Millisecond), result.err)
	}
	return fmt.Sprintf("%s: %d signed=%v after %v", result.id, result.status, result.signed, result.took.Round(time.Millisecond))
}

// head returns the head of a request.
func head(method, path, id string, deadline time.Duration, length int) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, hostName, id, deadline.Milliseconds())
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return text + "\r\n"
}

// readResult reads the answer to a request that was sent at start.
func readResult(conn net.Conn, reader *bufio.Reader, id, method string, start time.Time, deadline time.Duration) result {
	_ = conn.SetReadDeadline(start.Add(deadline + time.Second))
	request, _ := http.NewRequest(method, "http://"+hostName, nil)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return result{id: id, took: time.Since(start), err: err}
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return result{id: id, took: time.Since(start), err: err}
	}
	return result{id: id, status: response.StatusCode, signed: response.Header.Get("X-Server-Signature") != "", took: time.Since(start)}
}

// call sends one request on a new connection and reads its answer.
func call(address, method, path, id string, body []byte, deadline time.Duration) result {
	start := time.Now()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return result{id: id, err: err}
	}
	defer conn.Close()
	if _, err := conn.Write(append([]byte(head(method, path, id, deadline, len(body))), body...)); err != nil {
		return result{id: id, err: err}
	}
	return readResult(conn, bufio.NewReader(conn), id, method, start, deadline)
}
