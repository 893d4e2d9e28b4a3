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

// The bounds on dialling. Each backoff is reduced by a random amount of up to half,
// so that hosts do not reconnect to a failed peer simultaneously.
const (
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 5 * time.Second
	dialTimeout = 2 * time.Second
)

// maxLinks bounds the links to one peer: one dialled by each side, and the same
// again while the failure of a broken link is not yet detected.
const maxLinks = 4

// errNoAddress is the cause of a failed call to a peer that may not be dialled.
var errNoAddress = errors.New("no address of the host is known")

// peer holds the links to another host. Its task dials when a call needs a link.
type peer struct {
	messenger *Messenger
	name      string
	// cancel ends the task. It is set before the task starts.
	cancel context.CancelFunc
	// dialRequests holds an item while a call waits for the task to dial.
	dialRequests chan struct{}
	// mu guards the fields below.
	mu sync.Mutex
	// host has an empty peer address while the peer may not be dialled.
	host definer.Host
	// links holds the open links, newest last.
	links []*link
	// incarnation is the highest that the peer sent. Links of lower incarnations
	// are closed.
	incarnation uint64
	// dialDone is closed when the requested dial ends; nil while none is requested.
	dialDone chan struct{}
	// cause is the error of the last dial; retryAt is when to dial again.
	cause   error
	retryAt time.Time
	backoff time.Duration
	// stopped is true once the task has ended and receives no dial requests.
	stopped bool
}

func newPeer(messenger *Messenger, name string) *peer {
	return &peer{messenger: messenger, name: name, cancel: func() {}, dialRequests: make(chan struct{}, 1)}
}

// run dials on each dial request until ctx is done. The links remain open until
// runCtx is done.
func (peer *peer) run(ctx, runCtx context.Context) {
	defer peer.messenger.wait.Done()
	for {
		select {
		case <-peer.dialRequests:
			peer.finishDial(ctx, peer.dial(ctx, runCtx))
		case <-ctx.Done():
			peer.stop(ctx)
			return
		}
	}
}

// stop fails the pending dial request and refuses further ones.
func (peer *peer) stop(ctx context.Context) {
	peer.mu.Lock()
	peer.stopped = true
	peer.mu.Unlock()
	peer.finishDial(ctx, ctx.Err())
}

// reset prepares the peer for the start of its task.
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

// setHost sets the address to dial. A new address or a higher incarnation
// resets the backoff.
func (peer *peer) setHost(host definer.Host) {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if host.PeerAddress() != peer.host.PeerAddress() || host.Incarnation() > peer.host.Incarnation() {
		peer.retryAt = time.Time{}
		peer.backoff = 0
	}
	peer.host = host
}

// clearHost forbids dialling the peer and reports whether it has no link.
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

// link returns an open link. It waits for one until ctx or runCtx is done.
func (peer *peer) link(ctx, runCtx context.Context) (*link, error) {
	for {
		link, dialDone, err := peer.requestLink(time.Now())
		if link != nil || err != nil {
			return link, err
		}
		select {
		case <-dialDone:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-runCtx.Done():
			return nil, errStopped
		}
	}
}

// requestLink returns an open link, or a channel that is closed when the requested
// dial ends, or the reason why there is neither.
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

// dial opens a link that is served until runCtx is done.
func (peer *peer) dial(ctx, runCtx context.Context) error {
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
	go link.run(runCtx)
	return nil
}

// finishDial stores the result of a dial and wakes the calls that wait for it.
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

// add adds an open link. It closes links of a lower incarnation of the peer, and
// refuses a link whose own incarnation is lower than the known one.
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

// checkIncarnation returns the reason to refuse a link of incarnation, or nil.
func (peer *peer) checkIncarnation(incarnation uint64) error {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	return peer.checkIncarnationLocked(incarnation)
}

// checkIncarnationLocked is checkIncarnation for a caller that holds mu.
func (peer *peer) checkIncarnationLocked(incarnation uint64) error {
	if incarnation < peer.incarnation {
		return errOldIncarnation
	}
	if incarnation == peer.incarnation && len(peer.links) >= maxLinks {
		return errTooManyLinks
	}
	return nil
}

// remove removes an ended link and reports whether it was the last one.
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
