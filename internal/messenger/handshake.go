package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
)

// handshakeTimeout bounds TLS and the two Hello messages of a new connection.
const handshakeTimeout = 3 * time.Second

// maxNameBytes bounds the names in messages of peers.
const maxNameBytes = 128

// RefusalError reports why a connection with a peer is refused.
type RefusalError struct{ reason string }

// Error names the reason and the remedy.
func (refusalError *RefusalError) Error() string {
	return "refused by the protocol: " + refusalError.reason + "; mend that on the side that is refused"
}

// hello returns the Hello message of this host.
func (messenger *Messenger) hello() *encoder.Hello {
	settings := messenger.snapshot()
	self := settings.self
	return &encoder.Hello{
		Version: encoder.PeerVersion, Fleet: settings.fleet, Host: self.Name(),
		Incarnation: self.Incarnation(), Region: self.Place().Region(),
		DataCentre: self.Place().DataCentre(), Stamp: messenger.stamp(),
	}
}

// check returns the reason to refuse the sender of hello, or nil.
func (messenger *Messenger) check(conn net.Conn, hello *encoder.Hello) error {
	settings := messenger.snapshot()
	switch {
	case hello.GetVersion() < encoder.PeerVersionOldest:
		return &RefusalError{fmt.Sprintf("protocol version %d is too old, %d is the oldest that is spoken",
			hello.GetVersion(), encoder.PeerVersionOldest)}
	case hello.GetHost() == "" || len(hello.GetHost()) > maxNameBytes:
		return &RefusalError{"a host name that is empty or too long"}
	case hello.GetFleet() != settings.fleet:
		return &RefusalError{fmt.Sprintf("fleet %q, this is a host of fleet %q", hello.GetFleet(), settings.fleet)}
	case hello.GetHost() == settings.self.Name():
		return &RefusalError{"the name of this host, which another one uses"}
	case settings.credentials == nil && !settings.allowUnencrypted && !loopback(conn.RemoteAddr().String()):
		return &RefusalError{"a plain link that is not on loopback"}
	case settings.credentials != nil:
		return verifyName(conn, hello.GetHost())
	}
	return nil
}

// dial connects to host and exchanges Hello messages.
func (messenger *Messenger) dial(ctx context.Context, host definer.Host) (net.Conn, *encoder.Hello, error) {
	if settings := messenger.snapshot(); settings.credentials == nil && !settings.allowUnencrypted && !loopback(host.PeerAddress()) {
		return nil, nil, &CredentialsError{text: "plain links are only for loopback, not for " + host.PeerAddress()}
	}
	conn, err := messenger.snapshot().network.Dial(ctx, host.PeerAddress())
	if err != nil {
		return nil, nil, err
	}
	secured, hello, err := messenger.handshake(ctx, conn, host.Name())
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return secured, hello, nil
}

// handshake runs the dialling side of the handshake with the host called name.
func (messenger *Messenger) handshake(ctx context.Context, conn net.Conn, name string) (net.Conn, *encoder.Hello, error) {
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	raw := conn
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	if credentials := messenger.snapshot().credentials; credentials != nil {
		var err error
		conn, err = credentials.clientHandshake(ctx, conn, name)
		messenger.recordCredentials(credentials)
		if err != nil {
			return nil, nil, err
		}
	}
	if err := writeFrame(conn, messenger.hello(), maxHelloFrameBytes); err != nil {
		return nil, nil, err
	}
	hello := new(encoder.Hello)
	if err := readFrame(conn, hello, maxHelloFrameBytes); err != nil {
		return nil, nil, err
	}
	if hello.GetRefusal() != "" {
		return nil, nil, &RefusalError{hello.GetRefusal()}
	}
	err := messenger.check(conn, hello)
	if settings := messenger.snapshot(); err == nil && hello.GetHost() != name && !settings.isSeed(name) {
		err = &RefusalError{fmt.Sprintf("host %q answers at the address of %q", hello.GetHost(), name)}
	}
	if err != nil {
		messenger.refuse(name, err.Error())
		return nil, nil, err
	}
	messenger.observe(hello.GetStamp())
	return conn, hello, conn.SetDeadline(time.Time{})
}

// acceptedConn is an accepted connection.
type acceptedConn struct {
	messenger *Messenger
	conn      net.Conn
}

// run performs the handshake and runs the link until it ends.
func (acceptedConn *acceptedConn) run(ctx context.Context) {
	messenger := acceptedConn.messenger
	defer messenger.wait.Done()
	defer func() { <-messenger.inbound }()
	link, err := acceptedConn.handshake(ctx)
	if err != nil {
		acceptedConn.conn.Close()
		if ctx.Err() == nil {
			messenger.refuse(acceptedConn.conn.RemoteAddr().String(), err.Error())
		}
		return
	}
	messenger.wait.Add(1)
	link.run(ctx)
	messenger.prune(link.peer)
}

// handshake runs the accepting side of the handshake.
func (acceptedConn *acceptedConn) handshake(ctx context.Context) (*link, error) {
	messenger := acceptedConn.messenger
	conn := acceptedConn.conn
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	stop := context.AfterFunc(ctx, func() { acceptedConn.conn.Close() })
	defer stop()
	if credentials := messenger.snapshot().credentials; credentials != nil {
		var err error
		conn, err = credentials.serverHandshake(ctx, conn)
		messenger.recordCredentials(credentials)
		if err != nil {
			return nil, fmt.Errorf("a stranger: %w", err)
		}
	}
	hello := new(encoder.Hello)
	if err := readFrame(conn, hello, maxHelloFrameBytes); err != nil {
		return nil, fmt.Errorf("no greeting: %w", err)
	}
	answer := messenger.hello()
	peer, err := messenger.admit(conn, hello)
	if err != nil {
		answer.Refusal = err.Error()
		return nil, errors.Join(err, writeFrame(conn, answer, maxHelloFrameBytes))
	}
	if err := writeFrame(conn, answer, maxHelloFrameBytes); err != nil {
		return nil, err
	}
	messenger.observe(hello.GetStamp())
	return acceptedConn.open(conn, peer, hello)
}

// open creates the link of an admitted peer.
func (acceptedConn *acceptedConn) open(conn net.Conn, peer *peer, hello *encoder.Hello) (*link, error) {
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	link, err := newLink(peer, conn, hello, false)
	if err != nil {
		return nil, err
	}
	if err := peer.add(link); err != nil {
		link.abort()
		return nil, err
	}
	return link, nil
}

// admit returns the peer that sent hello, or the reason to refuse it.
func (messenger *Messenger) admit(conn net.Conn, hello *encoder.Hello) (*peer, error) {
	if err := messenger.check(conn, hello); err != nil {
		return nil, err
	}
	messenger.mu.Lock()
	defer messenger.mu.Unlock()
	if _, ok := messenger.peers[hello.GetHost()]; !ok && len(messenger.peers) >= maxPeers {
		return nil, &RefusalError{"too many hosts"}
	}
	peer := messenger.ensurePeer(hello.GetHost())
	return peer, peer.checkIncarnation(hello.GetIncarnation())
}
