package quarantiner

import (
	"cmp"
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/detector"
	"github.com/chivespool/chivespool/internal/encoder"
)

// firstReadTimeout limits the time that the first request waits for the list.
const firstReadTimeout = time.Second

// errNoAnnouncer is returned where no announcer is set.
var errNoAnnouncer = errors.New("no announcer is set; the other hosts read the store")

// Run keeps the local copy of the list up to date and writes the queued changes
// of this host until ctx is done. It reads the store once in each poll interval.
func (quarantiner *Quarantiner) Run(ctx context.Context) error {
	limits := quarantiner.prepare()
	for ctx.Err() == nil {
		wait := limits.pollInterval
		if !quarantiner.synchronize(ctx, limits) {
			wait = cmp.Or(limits.retryInterval, limits.pollInterval)
		}
		await(ctx, quarantiner.wake, wait)
	}
	return nil
}

// readFirst reads the list before the first request and returns it. If the store
// is unavailable, the host starts with an empty list rather than refuse all
// requests.
func (quarantiner *Quarantiner) readFirst(ctx context.Context) *detector.List {
	quarantiner.firstRead.Do(func() {
		quarantiner.prepare()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), firstReadTimeout)
		defer cancel()
		_, err := quarantiner.update(ctx, func(*detector.List) bool { return false })
		if err == nil {
			return
		}
		klog.ErrorS(err, "could not read the list of suspects at start; continuing without it until the store answers")
		quarantiner.mu.Lock()
		defer quarantiner.mu.Unlock()
		quarantiner.publish(time.Now())
	})
	return quarantiner.known.Load()
}

// synchronize reads the list and writes the crashes and the queued changes of this host.
// It reports whether the store answered.
func (quarantiner *Quarantiner) synchronize(ctx context.Context, limits Limits) bool {
	ctx, cancel := context.WithTimeout(ctx, limits.maxWait)
	defer cancel()
	changes := quarantiner.takeQueued()
	wrote, err := quarantiner.update(ctx, func(list *detector.List) bool {
		changed := false
		for _, change := range changes {
			changed = change.apply(list) || changed
		}
		return changed
	})
	if err != nil {
		klog.V(1).InfoS("could not synchronize the list of suspects with the store", "err", err)
		quarantiner.requeue(changes)
		return false
	}
	if wrote {
		// Hosts that do not receive the list read it from the store.
		_ = quarantiner.announce(ctx)
	}
	return true
}

// Merge merges a list announced by another host. A list older than the local
// copy is ignored. A list without a version holds crashes that are not in the
// store yet.
func (quarantiner *Quarantiner) Merge(data []byte) error {
	quarantiner.prepare()
	list, version, err := encoder.DecodeSuspects(data)
	if err != nil {
		return err
	}
	if version > 0 {
		quarantiner.adopt(list, definer.NewPoint(0, version), nil) // The daemons' store has no eras.
		return nil
	}
	now := time.Now()
	for _, suspect := range list.Suspects() {
		for _, id := range suspect.Crashes() {
			quarantiner.addUnrecorded(crash{fingerprint: suspect.Fingerprint(), id: id, at: now})
		}
	}
	return nil
}

// Snapshot returns the list in the encoding of [Quarantiner.Merge], for a host
// that has just joined.
func (quarantiner *Quarantiner) Snapshot() ([]byte, error) {
	quarantiner.prepare()
	quarantiner.mu.Lock()
	defer quarantiner.mu.Unlock()
	return encoder.EncodeSuspects(quarantiner.recorded, quarantiner.point.Revision())
}

// announce sends the list to the other hosts, after the crashes that may not be
// in the store yet.
func (quarantiner *Quarantiner) announce(ctx context.Context) error {
	if quarantiner.announcer == nil {
		return errNoAnnouncer
	}
	if unrecorded := quarantiner.copyUnrecorded(); len(unrecorded) > 0 {
		list := &detector.List{}
		for _, crash := range unrecorded {
			list.RecordCrash(crash.fingerprint, crash.id, time.Now(), quarantiner.limits.detectorLimits())
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
