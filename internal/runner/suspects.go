package runner

import (
	"context"
	"errors"
	"time"

	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/messenger"
)

// pullInterval is the wait between two attempts to fetch the suspect requests.
const pullInterval = time.Second

// announcer sends the suspect requests to every host that is not gone, because a
// host that is leaving or suspected to have failed may still serve callers.
type announcer struct {
	daemon *Daemon
}

// Announce sends list to these hosts concurrently, waits for all replies, and
// returns the joined errors.
func (announcer *announcer) Announce(ctx context.Context, list []byte) error {
	daemon := announcer.daemon
	announce := &encoder.SuspectAnnounce{Suspect: list}
	request := &encoder.Request{Body: &encoder.Request_SuspectAnnounce{SuspectAnnounce: announce}}
	var announcements []*announcement
	for _, host := range daemon.monitor.Hosts() {
		if host.Name() == daemon.self.Name() {
			continue
		}
		announcement := &announcement{daemon: daemon, host: host.Name(), done: make(chan error, 1)}
		announcements = append(announcements, announcement)
		go announcement.run(ctx, request)
	}
	var errs []error
	for _, announcement := range announcements {
		errs = append(errs, <-announcement.done)
	}
	return errors.Join(errs...)
}

// announcement is the call that sends the list to one host.
type announcement struct {
	daemon *Daemon
	host   string
	// done receives the result; its buffer of one keeps run from blocking.
	done chan error
}

func (announcement *announcement) run(ctx context.Context, request *encoder.Request) {
	_, err := announcement.daemon.messenger.Call(ctx, announcement.host, request)
	announcement.done <- err
}

// handleSuspects merges the received list of suspect requests. An empty list asks
// for the local one.
func (peerHandler *peerHandler) handleSuspects(announce *encoder.SuspectAnnounce) (*encoder.Reply, error) {
	quarantiner := peerHandler.daemon.quarantiner
	reply := &encoder.SuspectReply{}
	if list := announce.GetSuspect(); len(list) > 0 {
		if err := quarantiner.Merge(list); err != nil {
			return nil, messenger.NewError(messenger.Refused, "bad-suspects", err)
		}
	} else {
		snapshot, err := quarantiner.Snapshot()
		if err != nil {
			return nil, messenger.NewError(messenger.Refused, "no-suspects", err)
		}
		reply.Suspect = snapshot
	}
	return &encoder.Reply{Body: &encoder.Reply_Suspect{Suspect: reply}}, nil
}

// puller fetches the suspect requests from a peer once after the start, so that a
// host that starts during a store outage has them.
type puller struct {
	daemon *Daemon
}

// Run retries until a peer has answered, then waits for the stop.
func (puller *puller) Run(ctx context.Context) error {
	for ctx.Err() == nil && !puller.pull(ctx) {
		sleep(ctx, pullInterval)
	}
	<-ctx.Done()
	return nil
}

func (puller *puller) pull(ctx context.Context) bool {
	peer, ok := puller.daemon.nearestPeer()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	request := &encoder.Request{Body: &encoder.Request_SuspectAnnounce{SuspectAnnounce: &encoder.SuspectAnnounce{}}}
	reply, err := puller.daemon.messenger.Call(ctx, peer.Name(), request)
	return err == nil && puller.daemon.quarantiner.Merge(reply.GetSuspect().GetSuspect()) == nil
}

// sleep returns after duration, or when ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
