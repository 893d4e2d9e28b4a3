package messenger

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// The waits between attempts to dial a peer, each cut by up to half at random,
// so that hosts that lost one peer do not all come back to it at once.
const (
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 5 * time.Second
	dialTimeout = 2 * time.Second
)

// maxLinks bounds the links with one peer: one that each side dialled, and
// the same again while a link that broke is not yet known to be broken.
const maxLinks = 4

// errNoAddress is the cause where a peer can't be dialled.
var errNoAddress = errors.New("no address of the host is known")

// peer is what the messenger holds of another host. Its task dials when a call
// needs a link.
type peer struct {
	messenger *Messenger
	name      string
	// cancel ends the task; set before it starts.
	cancel context.CancelFunc
	// dialRequests has an item while a link is asked for.
	dialRequests chan struct{}
	// mu guards the fields below.
	mu sync.Mutex
	// host has no peer address while the host may not be dialled.
	host definer.Host
	// links holds the open links, the newest last.
	links []*link
	// incarnation is the highest that the peer said; older links are closed.
	incarnation uint64
	// dialDone is closed when the dialling that is asked for ends, else nil.
	dialDone chan struct{}
	// cause and retryAt are why the last dialling failed and when to try again.
	cause   error
	retryAt time.Time
	backoff time.Duration
	// stopped is true once the task has ended: nobody takes a demand any more.
	stopped bool
}

func newPeer(messenger *Messenger, name string) *peer {
	return &peer{messenger: messenger, name: name, cancel: func() {}, dialRequests: make(chan struct{}, 1)}
}

// run dials whenever a link is asked for, until ctx is done. The links go on
// until run is done.
func (peer *peer) run(ctx, run context.Context) {
	defer peer.messenger.wait.Done()
	for {
		select {
		case <-peer.dialRequests:
			peer.finishDial(ctx, peer.dial(ctx, run))
		case <-ctx.Done():
			peer.stop(ctx)
			return
		}
	}
}

// stop ends the attempt that waits for the task, and refuses others.
func (peer *peer) stop(ctx context.Context) {
	peer.mu.Lock()
	peer.stopped = true
	peer.mu.Unlock()
	peer.finishDial(ctx, ctx.Err())
}

// reset makes the peer ready for its task to start.
func (peer *peer) reset() {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	peer.stopped = false
	peer.dialDone = nil
	select {
	case <-peer.dialRequests:
	default:
	}
}

// setHost tells where the peer is dialled. A new address is tried at once.
func (peer *peer) setHost(host definer.Host) {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if host.PeerAddress() != peer.host.PeerAddress() || host.Incarnation() > peer.host.Incarnation() {
		peer.retryAt = time.Time{}
		peer.backoff = 0
	}
	peer.host = host
}

// clearHost stops the dialling of the peer and reports whether it has no link.
func (peer *peer) clearHost() bool {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	peer.host = definer.Host{}
	return len(peer.links) == 0
}

// unused reports whether the peer has no link and may not be dialled.
func (peer *peer) unused() bool {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	return len(peer.links) == 0 && peer.host.PeerAddress() == ""
}

// link returns an open link, which it waits for until ctx or run is done.
func (peer *peer) link(ctx, run context.Context) (*link, error) {
	for {
		link, dialDone, err := peer.requestLink(time.Now())
		if link != nil || err != nil {
			return link, err
		}
		select {
		case <-dialDone:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-run.Done():
			return nil, errStopped
		}
	}
}

// requestLink returns a link, or what to wait on for one, or why there is none.
func (peer *peer) requestLink(now time.Time) (*link, <-chan struct{}, error) {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	for _, link := range slices.Backward(peer.links) {
		if !link.unusable.Load() {
			return link, nil, nil
		}
	}
	if peer.stopped {
		return nil, nil, errStopped
	}
	if peer.dialDone != nil {
		return nil, peer.dialDone, nil
	}
	if peer.host.PeerAddress() == "" {
		return nil, nil, errNoAddress
	}
	if now.Before(peer.retryAt) {
		return nil, nil, peer.cause
	}
	peer.dialDone = make(chan struct{})
	peer.dialRequests <- struct{}{}
	return nil, peer.dialDone, nil
}

// dial opens a link, which lives until run is done.
func (peer *peer) dial(ctx, run context.Context) error {
	peer.mu.Lock()
	host := peer.host
	peer.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, hello, err := peer.messenger.dial(ctx, host)
	if err != nil {
		return err
	}
	link, err := newLink(peer, conn, hello, true)
	if err != nil {
		conn.Close()
		return err
	}
	if err := peer.add(link); err != nil {
		link.abort()
		return err
	}
	peer.messenger.wait.Add(1)
	go link.run(run)
	return nil
}

// finishDial ends an attempt to dial.
func (peer *peer) finishDial(ctx context.Context, err error) {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	peer.cause = err
	if err == nil {
		peer.backoff = 0
		peer.retryAt = time.Time{}
	} else if ctx.Err() == nil {
		peer.backoff = min(max(2*peer.backoff, minBackoff), maxBackoff)
		peer.retryAt = time.Now().Add(peer.backoff/2 + rand.N(peer.backoff/2))
	}
	if peer.dialDone != nil {
		close(peer.dialDone)
		peer.dialDone = nil
	}
}

// add takes in an open link. Links of an older start of the peer are closed; a
// link of an older start than the known one is refused.
func (peer *peer) add(link *link) error {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if err := peer.checkIncarnationLocked(link.incarnation); err != nil {
		return err
	}
	if link.incarnation > peer.incarnation {
		peer.incarnation = link.incarnation
		for _, old := range peer.links {
			old.cancel()
		}
		peer.links = nil
	}
	peer.links = append(peer.links, link)
	return nil
}

// checkIncarnation returns why a link of this incarnation would be refused, or nil.
func (peer *peer) checkIncarnation(incarnation uint64) error {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	return peer.checkIncarnationLocked(incarnation)
}

// checkIncarnationLocked is checkIncarnation for callers that hold mu.
func (peer *peer) checkIncarnationLocked(incarnation uint64) error {
	if incarnation < peer.incarnation {
		return errOldIncarnation
	}
	if incarnation == peer.incarnation && len(peer.links) >= maxLinks {
		return errTooManyLinks
	}
	return nil
}

// remove drops a link that ended and reports whether it was the last one.
func (peer *peer) remove(link *link) bool {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	index := slices.Index(peer.links, link)
	if index < 0 {
		return false
	}
	peer.links = slices.Delete(peer.links, index, index+1)
	return len(peer.links) == 0
}

var (
	errOldIncarnation = errors.New("an older start of the host than one known already; it has been replaced")
	errTooManyLinks   = errors.New("too many links of the host; close the others first")
)
