// Package messenger carries messages between entry hosts: one yamux link for a
// pair of hosts, one stream for a call, protobuf frames in it. Links are dialled
// when a call needs one and closed after they were idle for long.
//
// The package decides nothing about requests: a [Handler] answers calls, and
// package monitor judges from [Messenger.Exchange] who is there.
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
	// maxPeers bounds the hosts that have a link or may be dialled.
	maxPeers = 4096
	// maxInbound bounds the accepted connections, in handshake or linked.
	maxInbound = 1024
	// drainTimeout bounds how long calls in progress may take at the end.
	drainTimeout = 5 * time.Second
)

// Handler answers the calls of peers.
type Handler interface {
	// Handle answers request of the host called from. ctx ends when the asking
	// side gives up or the link dies. An [CallError] tells the asking side whether
	// the request had an effect; any other error counts as [Failed].
	Handle(ctx context.Context, from string, request *encoder.Request) (*encoder.Reply, error)
}

// Recorder is the time line and its clock.
type Recorder interface {
	Record(kind recorder.Kind, object, text string)
	Now() recorder.Stamp
	Observe(stamp recorder.Stamp)
}

// Messenger keeps the links to peers. It is a task of the supervisor tree. The
// zero value is ready for its Set methods, which come before Run except for
// SetPeers.
type Messenger struct {
	// mu guards all fields below but wait.
	mu sync.Mutex
	settings
	// peers holds all hosts that may be dialled or have a link, by name.
	peers map[string]*peer
	// ctx is that of the Run that is on; nil while none is.
	ctx context.Context
	// inbound has one item for each accepted connection.
	inbound chan struct{}
	refusalLimiter
	// wait counts the tasks that Run started.
	wait sync.WaitGroup
}

// settings is what the Set methods set.
type settings struct {
	self    definer.Host
	fleet   string
	network Network
	// credentials is nil where links are plain.
	credentials *Credentials
	// plain is true where links may go without TLS beyond loopback.
	plain bool
	// seeds are hosts whose names are not known; those here stand for them.
	seeds    []definer.Host
	recorder Recorder
	handler  Handler
	digests  DigestHandler
	onDown   []func(host string)
}

// snapshot returns the settings as they are now.
func (messenger *Messenger) snapshot() settings {
	messenger.mu.Lock()
	defer messenger.mu.Unlock()
	settings := messenger.settings
	if settings.network == nil {
		settings.network = new(TCP)
	}
	return settings
}

// change changes the settings.
func (messenger *Messenger) change(apply func(settings *settings)) {
	messenger.mu.Lock()
	defer messenger.mu.Unlock()
	apply(&messenger.settings)
}

// SetSelf tells the messenger which host it runs on.
func (messenger *Messenger) SetSelf(self definer.Host) {
	messenger.change(func(settings *settings) { settings.self = self })
}

// SetFleet names the installation; hosts of another one are refused.
func (messenger *Messenger) SetFleet(fleet string) {
	messenger.change(func(settings *settings) { settings.fleet = fleet })
}

// SetNetwork replaces TCP.
func (messenger *Messenger) SetNetwork(network Network) {
	messenger.change(func(settings *settings) { settings.network = network })
}

// SetCredentials turns on TLS. Without credentials, links are plain and only
// between loopback addresses.
func (messenger *Messenger) SetCredentials(credentials *Credentials) {
	messenger.change(func(settings *settings) { settings.credentials = credentials })
}

// SetRecorder sets the time line.
func (messenger *Messenger) SetRecorder(recorder Recorder) {
	messenger.change(func(settings *settings) { settings.recorder = recorder })
}

// AllowPlain lets links go without TLS beyond loopback, on a network that the
// platform keeps to itself.
func (messenger *Messenger) AllowPlain() {
	messenger.change(func(settings *settings) { settings.plain = true })
}

// Handle sets who answers the calls of peers.
func (messenger *Messenger) Handle(handler Handler) {
	messenger.change(func(settings *settings) { settings.handler = handler })
}

// HandleDigests sets who answers the digests of peers.
func (messenger *Messenger) HandleDigests(handler DigestHandler) {
	messenger.change(func(settings *settings) { settings.digests = handler })
}

// OnDown adds a function that is called with the name of each peer whose last
// link died. A link that was closed because it was idle does not count.
func (messenger *Messenger) OnDown(down func(host string)) {
	messenger.change(func(settings *settings) {
		settings.onDown = append(settings.onDown[:len(settings.onDown):len(settings.onDown)], down)
	})
}

// SetPeers tells which hosts may be dialled. A link to a host that is no longer
// among them stays while it is used.
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

// SetSeeds sets hosts that may be dialled before any other is known, under
// names that stand for them: who answers there may have another one. TLS proves
// names, so that seeds need plain links.
func (messenger *Messenger) SetSeeds(seeds []definer.Host) {
	messenger.change(func(settings *settings) { settings.seeds = seeds })
	messenger.SetPeers(nil)
}

// isSeed reports whether name stands for a host whose own is not known.
func (settings *settings) isSeed(name string) bool {
	return settings.credentials == nil && slices.ContainsFunc(settings.seeds, func(seed definer.Host) bool { return seed.Name() == name })
}

// Run listens on the host's peer address and keeps links until ctx is done.
// Then it lets the calls in progress end, within a bound, and closes all links.
func (messenger *Messenger) Run(ctx context.Context) error {
	if err := messenger.checkPlain(); err != nil {
		return err
	}
	settings := messenger.snapshot()
	listener, err := settings.network.Listen(ctx, settings.self.PeerAddress())
	if err != nil {
		return fmt.Errorf("listening for peers: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	run, cancel := context.WithCancel(ctx)
	messenger.start(run)
	err = messenger.accept(run, listener)
	listener.Close()
	messenger.finish()
	cancel()
	messenger.wait.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("accepting peers: %w", err)
}

// accept starts one task for each connection that comes in.
func (messenger *Messenger) accept(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if temporary(err) {
			klog.ErrorS(err, "accepting a peer failed")
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

// acceptPause is the wait after a failure of the system, such as too many
// open files.
const acceptPause = 50 * time.Millisecond

// temporary reports whether accepting again can succeed.
func temporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary() && !errors.Is(err, net.ErrClosed)
}

// pause waits for length or the end of ctx.
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

// finish keeps new tasks from being started.
func (messenger *Messenger) finish() {
	messenger.mu.Lock()
	defer messenger.mu.Unlock()
	messenger.ctx = nil
}

// ensurePeer returns the peer called name, which it makes if need be. The caller
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

// prune forgets a peer that has no link and may not be dialled.
func (messenger *Messenger) prune(peer *peer) {
	messenger.mu.Lock()
	defer messenger.mu.Unlock()
	if messenger.peers[peer.name] == peer && peer.unused() {
		peer.cancel()
		delete(messenger.peers, peer.name)
	}
}

// checkPlain keeps plain links on loopback.
func (messenger *Messenger) checkPlain() error {
	settings := messenger.snapshot()
	if settings.credentials == nil && !settings.plain && !loopback(settings.self.PeerAddress()) {
		return &CredentialsError{text: "plain links are only for loopback, not for " + settings.self.PeerAddress()}
	}
	return nil
}
