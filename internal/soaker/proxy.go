package soaker

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/emulator"
)

// proxyFaults are the faults of a proxy's connections. The zero value has none.
type proxyFaults struct {
	// delay is added to each chunk of data.
	delay time.Duration
	// blockRequests stops forwarding data to the target, and blockAnswers data
	// from it, until the fault is removed.
	blockRequests, blockAnswers bool
}

// proxy forwards loopback connections to a target and injects faults into them.
type proxy struct {
	listener  net.Listener
	taskGroup taskGroup
	ctx       context.Context
	cancel    context.CancelFunc

	// mu guards all fields below.
	mu sync.Mutex
	// target is where connections are forwarded; if empty, they are reset.
	target string
	faults proxyFaults
	// changed is closed and replaced when faults changes.
	changed chan struct{}
	links   map[*link]bool
}

// newProxy returns a proxy to target that already accepts connections.
func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &proxy{listener: listener, target: target, changed: make(chan struct{}), links: make(map[*link]bool)}
	proxy.ctx, proxy.cancel = context.WithCancel(context.Background())
	proxy.taskGroup.add(proxy.ctx, proxy)
	return proxy, nil
}

func (proxy *proxy) address() string { return proxy.listener.Addr().String() }

// setTarget forwards new connections to target; if empty, they are reset.
func (proxy *proxy) setTarget(target string) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.target = target
}

func (proxy *proxy) setFaults(proxyFaults proxyFaults) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.faults = proxyFaults
	close(proxy.changed)
	proxy.changed = make(chan struct{})
}

// reset resets all open connections.
func (proxy *proxy) reset() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for link := range proxy.links {
		link.reset()
	}
}

// close closes the proxy and its connections, and waits for its tasks.
func (proxy *proxy) close() {
	proxy.cancel()
	_ = proxy.listener.Close()
	proxy.reset()
	proxy.taskGroup.wait()
}

func (proxy *proxy) run(ctx context.Context) {
	for {
		conn, err := proxy.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		link := &link{proxy: proxy, client: conn.(*net.TCPConn)}
		proxy.mu.Lock()
		proxy.links[link] = true
		proxy.mu.Unlock()
		proxy.taskGroup.add(ctx, link)
	}
}

// link is one connection through a proxy.
type link struct {
	proxy  *proxy
	client *net.TCPConn
	// mu guards server, which is nil until the connection to the target is open.
	mu     sync.Mutex
	server *net.TCPConn
}

// reset resets the connections of both sides.
func (link *link) reset() {
	link.mu.Lock()
	defer link.mu.Unlock()
	for _, conn := range []*net.TCPConn{link.client, link.server} {
		if conn != nil {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
	}
}

func (link *link) run(ctx context.Context) {
	proxy := link.proxy
	defer func() {
		link.reset()
		proxy.mu.Lock()
		delete(proxy.links, link)
		proxy.mu.Unlock()
	}()
	proxy.mu.Lock()
	target := proxy.target
	proxy.mu.Unlock()
	if target == "" {
		return
	}
	conn, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	link.mu.Lock()
	link.server = conn.(*net.TCPConn)
	link.mu.Unlock()
	var taskGroup taskGroup
	taskGroup.add(ctx, &stream{link: link, from: link.client, to: link.server})
	taskGroup.add(ctx, &stream{link: link, from: link.server, to: link.client, fromServer: true})
	taskGroup.wait()
}

func (proxy *proxy) current() (proxyFaults, <-chan struct{}) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.faults, proxy.changed
}

// stream is one direction of a link.
type stream struct {
	link       *link
	from, to   *net.TCPConn
	fromServer bool
}

// bufferBytes is the size of the largest chunk that is forwarded at once.
const bufferBytes = 16 << 10

func (stream *stream) run(ctx context.Context) {
	buffer := make([]byte, bufferBytes)
	for {
		count, err := stream.from.Read(buffer)
		if count > 0 && !stream.admit(ctx) {
			return
		}
		if count > 0 {
			if _, err := stream.to.Write(buffer[:count]); err != nil {
				stream.link.reset()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = stream.to.CloseWrite()
			return
		}
		if err != nil {
			stream.link.reset()
			return
		}
	}
}

// admit waits until the faults permit forwarding a chunk, and reports false if ctx
// is done first.
func (stream *stream) admit(ctx context.Context) bool {
	for {
		proxyFaults, changed := stream.link.proxy.current()
		blocked := proxyFaults.blockRequests && !stream.fromServer || proxyFaults.blockAnswers && stream.fromServer
		if !blocked {
			return proxyFaults.delay == 0 || emulator.Pause(ctx, proxyFaults.delay) == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
