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

// path is what is wrong with the connections of a proxy. The zero value is
// nothing.
type path struct {
	// delay is added to each piece of data.
	delay time.Duration
	// noRequests and noAnswers hold back what one side sends.
	noRequests, noAnswers bool
}

// proxy hands loopback connections on to a target, with faults on the way.
type proxy struct {
	listener net.Listener
	crew     crew
	ctx      context.Context
	cancel   context.CancelFunc

	// mu guards all fields below.
	mu sync.Mutex
	// target is where connections go; empty resets them.
	target string
	path   path
	// switched is closed, and replaced, when the path changes.
	switched chan struct{}
	open     map[*link]bool
}

// newProxy returns a proxy to target that takes connections at once.
func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &proxy{listener: listener, target: target, switched: make(chan struct{}), open: make(map[*link]bool)}
	proxy.ctx, proxy.cancel = context.WithCancel(context.Background())
	proxy.crew.add(proxy.ctx, proxy)
	return proxy, nil
}

func (proxy *proxy) address() string { return proxy.listener.Addr().String() }

// aim sends new connections to target; empty for nowhere.
func (proxy *proxy) aim(target string) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.target = target
}

// set replaces what is wrong.
func (proxy *proxy) set(path path) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.path = path
	close(proxy.switched)
	proxy.switched = make(chan struct{})
}

// reset breaks all open connections.
func (proxy *proxy) reset() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for link := range proxy.open {
		link.reset()
	}
}

// close ends the proxy and its connections. It waits.
func (proxy *proxy) close() {
	proxy.cancel()
	_ = proxy.listener.Close()
	proxy.reset()
	proxy.crew.wait()
}

func (proxy *proxy) work(ctx context.Context) {
	for {
		conn, err := proxy.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		link := &link{proxy: proxy, near: conn.(*net.TCPConn)}
		proxy.mu.Lock()
		proxy.open[link] = true
		proxy.mu.Unlock()
		proxy.crew.add(ctx, link)
	}
}

// link is one connection through a proxy.
type link struct {
	proxy *proxy
	near  *net.TCPConn
	// mu guards far, which is nil until the target is reached.
	mu  sync.Mutex
	far *net.TCPConn
}

// reset breaks both sides without a goodbye.
func (link *link) reset() {
	link.mu.Lock()
	defer link.mu.Unlock()
	for _, conn := range []*net.TCPConn{link.near, link.far} {
		if conn != nil {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
	}
}

func (link *link) work(ctx context.Context) {
	proxy := link.proxy
	defer func() {
		link.reset()
		proxy.mu.Lock()
		delete(proxy.open, link)
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
	link.far = conn.(*net.TCPConn)
	link.mu.Unlock()
	var crew crew
	crew.add(ctx, &stream{link: link, from: link.near, to: link.far})
	crew.add(ctx, &stream{link: link, from: link.far, to: link.near, answers: true})
	crew.wait()
}

func (proxy *proxy) current() (path, <-chan struct{}) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.path, proxy.switched
}

// stream is one direction of a link.
type stream struct {
	link     *link
	from, to *net.TCPConn
	answers  bool
}

// chunkBytes is the size up to which data is handed on at once.
const chunkBytes = 16 << 10

func (stream *stream) work(ctx context.Context) {
	buffer := make([]byte, chunkBytes)
	for {
		count, err := stream.from.Read(buffer)
		if count > 0 && !stream.pass(ctx) {
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

// pass waits as the path says, and reports false at the end.
func (stream *stream) pass(ctx context.Context) bool {
	for {
		path, switched := stream.link.proxy.current()
		held := path.noRequests && !stream.answers || path.noAnswers && stream.answers
		if !held {
			return path.delay == 0 || emulator.Pause(ctx, path.delay) == nil
		}
		select {
		case <-switched:
		case <-ctx.Done():
			return false
		}
	}
}
