//go:build review3

package main

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// endpoint is a stand-in of a server of the platform. It runs capacity requests at once
// and queues a few more.
type endpoint struct {
	bench         *bench
	name, service string
	// version is that of its software; v1 if empty.
	version  string
	capacity int
	// work returns how long a request takes.
	work func(request *http.Request) time.Duration
	// tellsLoad is true if the endpoint adds its load to its answers; the health path then
	// answers at once. Otherwise it waits for a slot like any other request.
	tellsLoad bool
	// healthBytes is the size of the body of an answer to a health check.
	healthBytes int
	// onRun is called when a request begins to run.
	onRun func(id string, request *http.Request)

	listener net.Listener
	server   *http.Server
	slots    chan struct{}

	// mu guards the fields below.
	mu               sync.Mutex
	running, waiting int
	draining         bool
	sequence         int
	gone             bool
	stop             chan struct{}
	born             int64
}

// heartbeat is the time between two writes of an endpoint's entry.
const heartbeat = 1500 * time.Millisecond

// queueLength is how many requests may wait for a slot.
const queueLength = 8

func (endpoint *endpoint) open(bench *bench) error {
	endpoint.bench = bench
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	endpoint.listener, endpoint.slots, endpoint.stop = listener, make(chan struct{}, endpoint.capacity), make(chan struct{})
	endpoint.born = time.Now().UnixMilli()
	endpoint.server = &http.Server{Handler: endpoint, IdleTimeout: 10 * time.Second}
	go func() { _ = endpoint.server.Serve(listener) }()
	bench.closers = append(bench.closers, endpoint.end)
	if err := endpoint.beat(); err != nil {
		return err
	}
	go endpoint.beats()
	return nil
}

// beats writes the entry every heartbeat.
func (endpoint *endpoint) beats() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			_ = endpoint.beat()
		case <-endpoint.stop:
			return
		}
	}
}

// beat writes the entry in the store.
func (endpoint *endpoint) beat() error {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	if endpoint.gone {
		return nil
	}
	endpoint.sequence++
	state := "ready"
	if endpoint.draining {
		state = "draining"
	}
	return endpoint.bench.put("servers/"+endpoint.name, map[string]any{
		"service": endpoint.service, "address": endpoint.listener.Addr().String(), "zone": zoneName, "version": cmp.Or(endpoint.version, "v1"),
		"capacity": endpoint.capacity, "state": state, "cold_left_ms": 0, "sequence": endpoint.sequence, "born": endpoint.born,
	})
}

// drain reports that the endpoint leaves; the store has accepted it when it returns.
func (endpoint *endpoint) drain() error {
	endpoint.mu.Lock()
	endpoint.draining = true
	endpoint.mu.Unlock()
	return endpoint.beat()
}

// end ends the process of the endpoint and removes its entry.
func (endpoint *endpoint) end() {
	endpoint.mu.Lock()
	if endpoint.gone {
		endpoint.mu.Unlock()
		return
	}
	endpoint.gone = true
	close(endpoint.stop)
	endpoint.mu.Unlock()
	_ = endpoint.server.Close()
	endpoint.bench.remove("servers/" + endpoint.name)
}

// crash ends the process of the endpoint at once. Its entry stays until it has been silent
// for three heartbeats. It reports whether the endpoint was up.
func (endpoint *endpoint) crash() bool {
	endpoint.mu.Lock()
	if endpoint.gone {
		endpoint.mu.Unlock()
		return false
	}
	endpoint.gone = true
	close(endpoint.stop)
	endpoint.mu.Unlock()
	_ = endpoint.server.Close()
	time.AfterFunc(3*heartbeat, func() { endpoint.bench.remove("servers/" + endpoint.name) })
	return true
}

// acquire waits for a slot. It returns false if too many wait already, or the caller has
// left.
func (endpoint *endpoint) acquire(request *http.Request) bool {
	select {
	case endpoint.slots <- struct{}{}:
		return true
	default:
	}
	endpoint.mu.Lock()
	full := endpoint.waiting >= queueLength
	if !full {
		endpoint.waiting++
	}
	endpoint.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		endpoint.mu.Lock()
		endpoint.waiting--
		endpoint.mu.Unlock()
	}()
	select {
	case endpoint.slots <- struct{}{}:
		return true
	case <-request.Context().Done():
		return false
	case <-endpoint.stop:
		return false
	}
}

// ServeHTTP serves requests and health checks.
func (endpoint *endpoint) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	endpoint.mu.Lock()
	leaving := endpoint.draining
	endpoint.mu.Unlock()
	if leaving {
		header.Set("Server-Leaving", "1")
	}
	if endpoint.tellsLoad {
		header.Set("X-Instance-Load", endpoint.load())
	}
	if request.URL.Path == healthPath {
		endpoint.serveHealth(writer, request)
		return
	}
	id := request.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", id)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != endpoint.name {
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	endpoint.bench.log("endpoint %s is reached by %s, %d bytes", endpoint.name, id, len(body))
	if endpoint.onRun != nil {
		endpoint.onRun(id, request)
	}
	if !endpoint.acquire(request) {
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-endpoint.slots }()
	endpoint.count(1)
	defer endpoint.count(-1)
	endpoint.bench.log("endpoint %s runs %s", endpoint.name, id)
	select {
	case <-time.After(endpoint.work(request)):
	case <-request.Context().Done():
		return
	}
	answer := "answer to " + id
	header.Set("X-Server-Signature", endpoint.name+"."+id)
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(writer, answer)
}

// serveHealth answers a health check.
func (endpoint *endpoint) serveHealth(writer http.ResponseWriter, request *http.Request) {
	if !endpoint.tellsLoad {
		if !endpoint.acquire(request) {
			writer.Header().Set("X-Not-Executed", "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer func() { <-endpoint.slots }()
	}
	endpoint.mu.Lock()
	leaving := endpoint.draining
	endpoint.mu.Unlock()
	writer.Header().Set("X-Instance-Id", endpoint.name)
	if leaving {
		writer.Header().Set("Server-Leaving", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(writer, strings.Repeat(" ", endpoint.healthBytes))
}

func (endpoint *endpoint) count(change int) {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	endpoint.running += change
}

func (endpoint *endpoint) load() string {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", endpoint.running, endpoint.waiting, endpoint.capacity)
}
