//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// outcome is what a client saw of one attempt.
type outcome struct {
	id, gateway string
	// status is 0 if there was no complete answer.
	status    int
	signature string
	body      string
	err       error
	sent      time.Time
	ended     time.Time
	// late is true if the deadline passed.
	late bool
	// kept is true if the connection had carried a request before.
	kept bool
}

// client resolves the addresses of gateways and keeps one connection open.
type client struct {
	fleet     *fleet
	addresses []string
	// keep is how long a response of the directory is used.
	keep       time.Duration
	resolvedAt time.Time
	conn       net.Conn
	reader     *bufio.Reader
	address    string
	// requests counts those on the connection.
	requests int
	failed   map[string]bool
	only     string
}

var requestCount atomic.Uint64

func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), requestCount.Add(1)) }

// resolve asks the directory of a random gateway, then of the others.
func (client *client) resolve() {
	gateways := slices.Clone(client.fleet.gateways)
	rand.Shuffle(len(gateways), func(i, j int) { gateways[i], gateways[j] = gateways[j], gateways[i] })
	caller := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, gateway := range gateways[:min(3, len(gateways))] {
		response, err := caller.Get("http://" + gateway.directory + "/-/resolve?name=" + hostName + "&region=" + regionName + "&zone=" + zoneName)
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && len(answer.Addresses) > 0 {
			client.addresses, client.resolvedAt, client.failed = answer.Addresses, time.Now(), make(map[string]bool)
			return
		}
	}
}

func (client *client) disconnect() {
	if client.conn != nil {
		_ = client.conn.Close()
		client.conn = nil
	}
}

// connect makes sure that there is a connection to a listed address.
func (client *client) connect() bool {
	if client.only != "" {
		client.addresses, client.failed = []string{client.only}, make(map[string]bool)
	} else if time.Since(client.resolvedAt) > client.keep {
		client.resolve()
	}
	if client.conn != nil && slices.Contains(client.addresses, client.address) {
		return true
	}
	client.disconnect()
	var usable []string
	for _, address := range client.addresses {
		if !client.failed[address] {
			usable = append(usable, address)
		}
	}
	if len(usable) == 0 {
		client.resolvedAt = time.Time{}
		return false
	}
	address := usable[rand.IntN(len(usable))]
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		client.failed[address] = true
		return false
	}
	client.conn, client.reader, client.address, client.requests = conn, bufio.NewReader(conn), address, 0
	return true
}

func (client *client) gatewayName() string {
	for _, gateway := range client.fleet.gateways {
		if gateway.front == client.address {
			return gateway.name
		}
	}
	return client.address
}

// send sends one request on the connection and reads its answer.
func (client *client) send(method, target, body string, deadline time.Duration) outcome {
	outcome := outcome{id: newID(), gateway: client.gatewayName(), sent: time.Now(), kept: client.requests > 0}
	client.requests++
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, target, hostName, outcome.id, deadline.Milliseconds())
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	client.fleet.record.add("client sends %s %s %s to %s, deadline %v", outcome.id, method, target, outcome.gateway, deadline)
	_ = client.conn.SetDeadline(outcome.sent.Add(deadline))
	_, err := io.WriteString(client.conn, head+"\r\n"+body)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(client.reader, &http.Request{Method: method})
	}
	var text []byte
	if err == nil {
		text, err = io.ReadAll(response.Body)
	}
	outcome.ended = time.Now()
	if err != nil {
		var timeout net.Error
		outcome.err, outcome.late = err, errors.As(err, &timeout) && timeout.Timeout()
		client.fleet.record.add("client gets no complete answer to %s from %s after %v: %v", outcome.id, outcome.gateway, outcome.ended.Sub(outcome.sent).Round(time.Millisecond), err)
		client.disconnect()
		return outcome
	}
	outcome.status, outcome.signature, outcome.body = response.StatusCode, response.Header.Get("X-Server-Signature"), string(text)
	client.fleet.record.add("client gets %d to %s from %s after %v, signature %q: %s", outcome.status, outcome.id, outcome.gateway,
		outcome.ended.Sub(outcome.sent).Round(time.Millisecond), outcome.signature, firstLine(outcome.body))
	if response.Close {
		client.disconnect()
	}
	return outcome
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line[:min(len(line), 160)]
}
