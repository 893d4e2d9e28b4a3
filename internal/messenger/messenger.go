// Package messenger carries calls between entry hosts, for the daemons that
// packages runner and launcher build.
//
// A pair of hosts shares one yamux link, dialled when a call needs it and closed
// when idle; each call is a stream of protobuf frames on it. Each peer, link and
// served call has a goroutine; handshakes, dials and idle links have timeouts.
// The package decides nothing about requests: a [Handler] answers them, and
// package monitor derives the membership from the digests of
// [Messenger.Exchange].
package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/recorder"
	"k8s.io/klog/v2"
)

// Bounds on connections.
const (
	// maxPeers bounds the known peers when an unknown host connects.
	maxPeers = 4096
	// maxInbound bounds the accepted connections, during and after the handshake.
	maxInbound = 1024
	// drainTimeout bounds the calls in progress when a link is drained.
	drainTimeout = 5 * time.Second
)

// Handler answers the calls of peers.
type Handler interface {
	// Handle answers a request of the host called from. ctx ends when the caller
	// cancels the call or the link fails. A [CallError] tells the caller whether the
	// request had an effect; any other error counts as [Failed].
	Handle(ctx context.Context, from string, request *encoder.Request) (*encoder.Reply, error)
}

// Recorder is the timeline and its logical clock.
type Recorder interface {
	Record(kind recorder.Kind, object, text string)
	Now() recorder.Stamp
	Observe(stamp recorder.Stamp)
}

// Messenger manages the links to peers. It is a task of the supervisor tree. The
// zero value is ready for its Set methods, which must be called before Run, except
// for SetPeers.
type Messenger struct {
	// mu guards all fields below but wait.
	mu sync.Mutex
	settings
	// peers holds, by name, all hosts that may be dialled or have a link.
	peers map[string]*peer
	// ctx is the context of the current Run, or nil.
	ctx context.Context
	// inbound holds one item for each accepted connection.
	inbound chan struct{}
	refusalLimiter
	// wait counts the tasks of the current Run.
	wait sync.WaitGroup
}

// settings holds the values that the Set methods set.
type settings struct {
	self    definer.Host
	fleet   string
	network Network
	// credentials is nil if links are unencrypted.
	credentials *Credentials
	// allowUnencrypted is true if links beyond loopback may be unencrypted.
	allowUnencrypted bool
	// seeds are hosts of unknown names, listed under placeholder names.
	seeds         []definer.Host
	recorder      Recorder
	handler       Handler
	digestHandler DigestHandler
	onDown        []func(host string)
}

// snapshot returns a copy of the current settings.
func (messenger *Messenger) snapshot() settings {
	messenger.mu.Lock()
	defer messenger.mu.Unlock()
	settings := messenger.settings
	if settings.network == nil {
		settings.network = new(TCP)
	}
	return settings
}

// change applies a function to the settings under mu.
func (messenger *Messenger) change(apply func(settings *settings)) {
	messenger.mu.Lock()
	defer messenger.mu.Unlock()
	apply(&messenger.settings)
}

// SetSelf sets the host that the messenger runs on.
func (messenger *Messenger) SetSelf(self definer.Host) {
	messenger.change(func(settings *settings) { settings.self = self })
}

// SetFleet sets the name of the installation; hosts of another one are refused.
func (messenger *Messenger) SetFleet(fleet string) {
	messenger.change(func(settings *settings) { settings.fleet = fleet })
}

// SetNetwork sets the network to use in place of TCP.
func (messenger *Messenger) SetNetwork(network Network) {
	messenger.change(func(settings *settings) { settings.network = network })
}

// SetCredentials enables TLS. Without credentials, links are unencrypted and,
// unless AllowUnencrypted was called, only between loopback addresses.
func (messenger *Messenger) SetCredentials(credentials *Credentials) {
	messenger.change(func(settings *settings) { settings.credentials = credentials })
}

// SetRecorder sets the timeline.
func (messenger *Messenger) SetRecorder(recorder Recorder) {
	messenger.change(func(settings *settings) { settings.recorder = recorder })
}

// AllowUnencrypted permits unencrypted links beyond loopback, for a network that is
// private to the platform.
func (messenger *Messenger) AllowUnencrypted() {
	messenger.change(func(settings *settings) { settings.allowUnencrypted = true })
}

// SetHandler sets the handler of the calls of peers.
func (messenger *Messenger) SetHandler(handler Handler) {
	messenger.change(func(settings *settings) { settings.handler = handler })
}

// SetDigestHandler sets the handler of the digests of peers.
func (messenger *Messenger) SetDigestHandler(handler DigestHandler) {
	messenger.change(func(settings *settings) { settings.digestHandler = handler })
}

// OnDown adds a function that is called with the name of each peer whose last link
// failed. It is not called for a link that was closed because it was idle.
func (messenger *Messenger) OnDown(down func(host string)) {
	messenger.change(func(settings *settings) {
		settings.onDown = append(settings.onDown[:len(settings.onDown):len(settings.onDown)], down)
	})
}

// SetPeers sets the hosts that may be dialled. An open link to a host that is no
// longer among them is kept until it becomes idle or fails.
func (messenger *Messenger) SetPeers(hosts []definer.Host) {
	messenger.mu.Lock()
	defer messenger.mu.Unlock()
	dialled := make(map[string]bool, len(hosts))
	for _, host := range append(slices.Clone(messenger.seeds), hosts...) {
		if host.Name() == messenger.self.Name() {
			continue
		}
		dialled[host.Name()] = true
		messenger.ensurePeer(host.Name()).setHost(host)
	}
	for name, peer := range messenger.peers {
		if !dialled[name] && peer.clearHost() {
			peer.cancel()
			delete(messenger.peers, name)
		}
	}
}

// SetSeeds sets hosts that may be dialled before any other host is known, under
// placeholder names: the host at such an address may have another name. TLS
// verifies names, so seeds work only over unencrypted links.
func (messenger *Messenger) SetSeeds(seeds []definer.Host) {
	messenger.change(func(settings *settings) { settings.seeds = seeds })
	messenger.SetPeers(nil)
}

// isSeed reports whether name is the placeholder of a seed.
func (settings *settings) isSeed(name string) bool {
	return settings.credentials == nil && slices.ContainsFunc(settings.seeds, func(seed definer.Host) bool { return seed.Name() == name })
}

// Run listens on the host's peer address and serves links until ctx is done. It
// then waits for the calls in progress, within a bound, and closes all links.
func (messenger *Messenger) Run(ctx context.Context) error {
	if err := messenger.checkUnencrypted(); err != nil {
		return err
	}
	settings := messenger.snapshot()
	listener, err := settings.network.Listen(ctx, settings.self.PeerAddress())
	if err != nil {
		return fmt.Errorf("listening for peers: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	runCtx, cancel := context.WithCancel(ctx)
	messenger.start(runCtx)
	err = messenger.accept(runCtx, listener)
	listener.Close()
	messenger.finish()
	cancel()
	messenger.wait.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("accepting peers: %w", err)
}

// accept starts one task for each accepted connection.
func (messenger *Messenger) accept(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if temporary(err) {
			klog.ErrorS(err, "failed to accept a peer connection")
			pause(ctx, acceptPause)
			continue
		}
		if err != nil {
			return err
		}
		select {
		case messenger.inbound <- struct{}{}:
			messenger.wait.Add(1)
			acceptedConn := &acceptedConn{messenger: messenger, conn: conn}
			go acceptedConn.run(ctx)
		default:
			messenger.refuse(conn.RemoteAddr().String(), "too many connections")
			conn.Close()
		}
	}
}

// acceptPause is the wait after a temporary failure, such as too many open files.
const acceptPause = 50 * time.Millisecond

// temporary reports whether Accept can succeed after err.
func temporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary() && !errors.Is(err, net.ErrClosed)
}

// pause waits for length or until ctx is done.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (messenger *Messenger) start(ctx context.Context) {
	messenger.mu.Lock()
	defer messenger.mu.Unlock()
	messenger.ctx = ctx
	messenger.inbound = make(chan struct{}, maxInbound)
	for _, peer := range messenger.peers {
		messenger.startPeer(peer)
	}
}

// finish prevents new peer tasks from being started.
func (messenger *Messenger) finish() {
	messenger.mu.Lock()
	defer messenger.mu.Unlock()
	messenger.ctx = nil
}

// ensurePeer returns the peer called name and creates it if necessary. The caller
// holds mu.
func (messenger *Messenger) ensurePeer(name string) *peer {
	if peer, ok := messenger.peers[name]; ok {
		return peer
	}
	if messenger.peers == nil {
		messenger.peers = make(map[string]*peer)
	}
	peer := newPeer(messenger, name)
	messenger.peers[name] = peer
	if messenger.ctx != nil {
		messenger.startPeer(peer)
	}
	return peer
}

// startPeer starts the task of peer. The caller holds mu.
func (messenger *Messenger) startPeer(peer *peer) {
	ctx, cancel := context.WithCancel(messenger.ctx)
	peer.cancel = cancel
	peer.reset()
	messenger.wait.Add(1)
	go peer.run(ctx, messenger.ctx)
}

// prune removes a peer that has no link and may not be dialled.
func (messenger *Messenger) prune(peer *peer) {
	messenger.mu.Lock()
	defer messenger.mu.Unlock()
	if messenger.peers[peer.name] == peer && peer.unused() {
		peer.cancel()
		delete(messenger.peers, peer.name)
	}
}

// checkUnencrypted refuses unencrypted links beyond loopback, unless they are allowed.
func (messenger *Messenger) checkUnencrypted() error {
	settings := messenger.snapshot()
	if settings.credentials == nil && !settings.allowUnencrypted && !loopback(settings.self.PeerAddress()) {
		return &CredentialsError{text: "plain links are only for loopback, not for " + settings.self.PeerAddress()}
	}
	return nil
}
