//go:build review3

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The load: uploads of the mean size of form-video on slow links, and reads beside them.
const (
	uploadWorkers = 260
	readWorkers   = 120
	uploadBytes   = 60_000
	uploadPieces  = 16
	pieceTime     = 40 * time.Millisecond
	readPause     = 200 * time.Millisecond
	uploadTime    = 3 * time.Second // The deadline.
	// Clients that leave do so within half of the aim of 1,200 ms.
	leavePiece = 15
	leaveShare = 0.3
	// Spells of clients that leave, with the share and the length of the largest on the sheets.
	spells    = 5
	spellTime = 5000 * time.Millisecond
	spellGap  = 500 * time.Millisecond
	dayTime   = 100 * time.Second
)

// tally counts the requests of one kind. Those whose client left are not owed.
type tally struct{ owed, served, refused, failed, left atomic.Int64 }

func (tally *tally) add(result result) {
	tally.owed.Add(1)
	switch {
	case result.status == http.StatusOK && result.signed:
		tally.served.Add(1)
	case result.status == http.StatusServiceUnavailable || result.status == http.StatusTooManyRequests:
		tally.refused.Add(1)
	default:
		tally.failed.Add(1)
	}
}

// String returns the counts.
func (tally *tally) String() string {
	return fmt.Sprintf("owed %d, served %d, refused %d, failed %d, left early %d", tally.owed.Load(), tally.served.Load(),
		tally.refused.Load(), tally.failed.Load(), tally.left.Load())
}

// share returns the share of the owed requests that was served.
func (tally *tally) share() float64 {
	return float64(tally.served.Load()) / max(1, float64(tally.owed.Load()))
}

// uploads is the day of abortedUploads.
type uploads struct {
	bench *bench
	// leaving is true while some clients leave.
	leaving atomic.Bool
	// day counts the whole day, and end its last ten seconds.
	dayUploads, dayReads, endUploads, endReads tally
	atEnd                                      atomic.Bool
	count                                      atomic.Int64
}

// abortedUploads lets clients leave while they send a body, and checks that uploads are
// served.
func abortedUploads(bench *bench) (bool, error) {
	for index := range 3 {
		for _, service := range []string{"clipvault", "planbook"} {
			stub := &endpoint{name: fmt.Sprintf("i-%s-%d", service, index), service: service, capacity: 16, tellsLoad: true,
				work: func(*http.Request) time.Duration { return 20 * time.Millisecond }}
			if err := stub.open(bench); err != nil {
				return false, err
			}
		}
	}
	if err := bench.publish(1, route{"/video/", "upload", "clipvault", 3000, 1200, 2}, route{"/plan/", "idempotent", "planbook", 2000, 500, 2}); err != nil {
		return false, err
	}
	if err := bench.startGateways(2); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	uploads := &uploads{bench: bench}
	ctx, cancel := context.WithTimeout(context.Background(), dayTime)
	defer cancel()
	var workers sync.WaitGroup
	for range uploadWorkers {
		workers.Go(func() { uploads.work(ctx, uploads.upload, &uploads.dayUploads, &uploads.endUploads) })
	}
	for range readWorkers {
		workers.Go(func() { uploads.work(ctx, uploads.read, &uploads.dayReads, &uploads.endReads) })
	}
	workers.Go(func() { uploads.run(ctx) })
	workers.Wait()
	bench.note("uploads of the day: %v", &uploads.dayUploads)
	bench.note("reads of the day: %v", &uploads.dayReads)
	bench.note("uploads of the last 10 s: %v", &uploads.endUploads)
	bench.note("reads of the last 10 s: %v", &uploads.endReads)
	for _, gateway := range bench.gateways {
		bench.note("%s says at the end that it is ready: %v", gateway.name, gateway.isReady())
	}
	if uploads.dayReads.share() < 0.95 {
		return false, fmt.Errorf("the stand-ins are too slow: %.2f of the reads were served", uploads.dayReads.share())
	}
	all := float64(uploads.dayUploads.served.Load()+uploads.dayReads.served.Load()) /
		float64(uploads.dayUploads.owed.Load()+uploads.dayReads.owed.Load())
	bench.note("served: %.3f of the uploads, %.3f of all requests", uploads.dayUploads.share(), all)
	return uploads.dayUploads.share() < all/4, nil
}

// run begins and ends the spells, and notes how many uploads are served.
func (uploads *uploads) run(ctx context.Context) {
	if uploads.bench.trouble {
		for range spells {
			uploads.leaving.Store(true)
			time.Sleep(spellTime)
			uploads.leaving.Store(false)
			uploads.bench.log("clients left early: %d; uploads: %v", uploads.dayUploads.left.Load(), &uploads.dayUploads)
			time.Sleep(spellGap)
		}
		uploads.bench.log("no client leaves any more")
	}
	deadline, _ := ctx.Deadline()
	for time.Until(deadline) > 10*time.Second {
		time.Sleep(5 * time.Second)
		uploads.bench.log("uploads: %v; reads: %v", &uploads.dayUploads, &uploads.dayReads)
	}
	uploads.atEnd.Store(true)
}

// client is one client with a kept connection.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (client *client) close() {
	if client.conn != nil {
		_ = client.conn.Close()
	}
	client.conn = nil
}

func (client *client) connect(address string) error {
	if client.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	client.conn, client.reader = conn, bufio.NewReader(conn)
	return nil
}

// work sends requests one after the other until ctx ends.
func (uploads *uploads) work(ctx context.Context, send func(*client, string, string) (result, bool), day, end *tally) {
	client := &client{}
	defer client.close()
	address := uploads.bench.gateways[rand.IntN(len(uploads.bench.gateways))].address
	time.Sleep(time.Duration(rand.IntN(700)) * time.Millisecond)
	for ctx.Err() == nil {
		id := fmt.Sprintf("c%07d", uploads.count.Add(1))
		result, left := send(client, address, id)
		if left {
			uploads.bench.log("client of %s: sent a part of %s and left", address, id)
			day.left.Add(1)
			continue
		}
		uploads.bench.log("client of %s: sent %v", address, result)
		if result.status == http.StatusServiceUnavailable {
			// Clients come back once, after the time that they were told.
			time.Sleep(300 * time.Millisecond)
			if result, left = send(client, address, id+"r"); left {
				uploads.bench.log("client of %s: sent a part of %sr and left", address, id)
				day.left.Add(1)
				continue
			}
			uploads.bench.log("client of %s: sent again %v", address, result)
		}
		day.add(result)
		if uploads.atEnd.Load() {
			end.add(result)
		}
	}
}

// read sends a read.
func (uploads *uploads) read(client *client, address, id string) (result, bool) {
	time.Sleep(readPause)
	start := time.Now()
	if err := client.connect(address); err != nil {
		return result{id: id, err: err}, false
	}
	_, _ = client.conn.Write([]byte(head(http.MethodGet, "/plan/"+id, id, 2*time.Second, 0)))
	result := readResult(client.conn, client.reader, id, http.MethodGet, start, 2*time.Second)
	if result.err != nil {
		client.close()
	}
	return result, false
}

// upload sends a body in pieces, as over a slow link, and reads the answer. It reports
// whether the client left before the end of the body.
func (uploads *uploads) upload(client *client, address, id string) (result, bool) {
	start := time.Now()
	if err := client.connect(address); err != nil {
		return result{id: id, err: err}, false
	}
	leaves := uploads.leaving.Load() && rand.Float64() < leaveShare
	piece := bytes.Repeat([]byte{'v'}, uploadBytes/uploadPieces)
	_, _ = client.conn.Write([]byte(head(http.MethodPost, "/video/"+id, id, uploadTime, uploadBytes)))
	for index := range uploadPieces {
		if leaves && index == leavePiece {
			client.close()
			return result{}, true
		}
		_, _ = client.conn.Write(piece)
		_ = client.conn.SetReadDeadline(time.Now().Add(pieceTime))
		if _, err := client.reader.Peek(1); err == nil {
			break // The answer comes before the end of the body.
		} else if netErr, ok := err.(net.Error); !ok || !netErr.Timeout() {
			client.close()
			return result{id: id, err: err}, false
		}
	}
	result := readResult(client.conn, client.reader, id, http.MethodPost, start, uploadTime)
	if result.status != http.StatusOK {
		client.close()
	}
	return result, false
}
