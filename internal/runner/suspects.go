package runner

import (
	"context"
	"errors"
	"time"

	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/messenger"
)

// pullPause is the wait between two tries to learn the suspects from a peer.
const pullPause = time.Second

// announcer tells the hosts that are not gone of suspects: a host that leaves
// or is suspect may still serve callers.
type announcer struct {
	daemon *Daemon
}

// Announce returns once every such host has heard, with the failures of those
// that did not.
func (announcer *announcer) Announce(ctx context.Context, list []byte) error {
	daemon := announcer.daemon
	announce := &encoder.SuspectAnnounce{Suspect: list}
	request := &encoder.Request{Body: &encoder.Request_SuspectAnnounce{SuspectAnnounce: announce}}
	var told []*announcement
	for _, host := range daemon.monitor.Hosts() {
		if host.Name() == daemon.self.Name() {
			continue
		}
		announcement := &announcement{daemon: daemon, host: host.Name(), done: make(chan error, 1)}
		told = append(told, announcement)
		go announcement.run(ctx, request)
	}
	var errs []error
	for _, announcement := range told {
		errs = append(errs, <-announcement.done)
	}
	return errors.Join(errs...)
}

// announcement tells one host.
type announcement struct {
	daemon *Daemon
	host   string
	// done gets the one result; it has room for it.
	done chan error
}

func (announcement *announcement) run(ctx context.Context, request *encoder.Request) {
	_, err := announcement.daemon.messenger.Call(ctx, announcement.host, request)
	announcement.done <- err
}

// announced takes in a list of suspects, or returns the own one to a host that
// sends none.
func (peerHandler *peerHandler) announced(announce *encoder.SuspectAnnounce) (*encoder.Reply, error) {
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

// puller learns the suspects from a peer once after the start, for a host that
// starts while the store is out.
type puller struct {
	daemon *Daemon
}

// Run asks peers until one has answered, then waits for the stop.
func (puller *puller) Run(ctx context.Context) error {
	for ctx.Err() == nil && !puller.pull(ctx) {
		wait(ctx, pullPause)
	}
	<-ctx.Done()
	return nil
}

func (puller *puller) pull(ctx context.Context) bool {
	peer, ok := puller.daemon.nearPeer()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	request := &encoder.Request{Body: &encoder.Request_SuspectAnnounce{SuspectAnnounce: &encoder.SuspectAnnounce{}}}
	reply, err := puller.daemon.messenger.Call(ctx, peer.Name(), request)
	return err == nil && puller.daemon.quarantiner.Merge(reply.GetSuspect().GetSuspect()) == nil
}

// wait returns after duration, or when ctx ends.
func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
