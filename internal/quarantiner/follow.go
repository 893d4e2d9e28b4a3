package quarantiner

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/suspecter"
)

// firstRead is how long the first request waits for the list.
const firstRead = time.Second

// errNotAnnounced says that there is no way to the other hosts.
var errNotAnnounced = errors.New("no announcer is set; the other hosts read the store")

// Run follows the list in the store, and writes what this host has to add,
// until ctx is done. It costs one read of the store in each poll interval.
func (quarantiner *Quarantiner) Run(ctx context.Context) error {
	limits := quarantiner.prepare()
	for ctx.Err() == nil {
		quarantiner.follow(ctx, limits)
		await(ctx, quarantiner.wake, limits.poll)
	}
	return nil
}

// first returns the list at the start of this host. With the store out the host
// goes on without, rather than refuse all requests.
func (quarantiner *Quarantiner) first(ctx context.Context) *suspecter.List {
	quarantiner.begin.Do(func() {
		quarantiner.prepare()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), firstRead)
		defer cancel()
		_, err := quarantiner.update(ctx, func(*suspecter.List) bool { return false })
		if err == nil {
			return
		}
		klog.ErrorS(err, "started without the list of suspects; it is read as soon as the store answers")
		quarantiner.mu.Lock()
		defer quarantiner.mu.Unlock()
		quarantiner.publish(time.Now())
	})
	return quarantiner.known.Load()
}

// follow reads the list and writes the endings of this host.
func (quarantiner *Quarantiner) follow(ctx context.Context, limits Limits) {
	ctx, cancel := context.WithTimeout(ctx, limits.patience)
	defer cancel()
	endings := quarantiner.takeEndings()
	wrote, err := quarantiner.update(ctx, func(list *suspecter.List) bool {
		changed := false
		for _, ending := range endings {
			changed = ending.apply(list) || changed
		}
		return changed
	})
	if err != nil {
		klog.V(1).InfoS("suspects not followed", "err", err)
		quarantiner.putBack(endings)
		return
	}
	if wrote {
		// A host that does not hear it reads it from the store.
		_ = quarantiner.announce(ctx)
	}
}

// Hear takes in a list that another host announced. A list older than the one
// known is ignored.
func (quarantiner *Quarantiner) Hear(data []byte) error {
	quarantiner.prepare()
	list, version, err := encoder.DecodeSuspects(data)
	if err != nil {
		return err
	}
	if version > 0 {
		quarantiner.adopt(list, version, nil)
		return nil
	}
	now := time.Now()
	for _, suspect := range list.Suspects() {
		for _, id := range suspect.Crashes() {
			quarantiner.suspect(crash{fingerprint: suspect.Fingerprint(), id: id, at: now})
		}
	}
	return nil
}

// Snapshot returns what [Quarantiner.Hear] takes, for a host that has just
// joined.
func (quarantiner *Quarantiner) Snapshot() ([]byte, error) {
	quarantiner.prepare()
	quarantiner.mu.Lock()
	defer quarantiner.mu.Unlock()
	return encoder.EncodeSuspects(quarantiner.recorded, quarantiner.version)
}

// announce tells the other hosts the list, and the crashes that the store does
// not hold yet.
func (quarantiner *Quarantiner) announce(ctx context.Context) error {
	if quarantiner.announcer == nil {
		return errNotAnnounced
	}
	if unrecorded := quarantiner.pending(); len(unrecorded) > 0 {
		list := &suspecter.List{}
		for _, crash := range unrecorded {
			list.Crash(crash.fingerprint, crash.id, time.Now(), quarantiner.limits.terms())
		}
		data, err := encoder.EncodeSuspects(list, 0)
		if err != nil {
			return err
		}
		if err := quarantiner.announcer.Announce(ctx, data); err != nil {
			return err
		}
	}
	data, err := quarantiner.Snapshot()
	if err != nil {
		return err
	}
	return quarantiner.announcer.Announce(ctx, data)
}
