package soaker

import (
	"bufio"
	"io"
	"net"
	"testing"
)

// startEchoServer starts a server that echoes its input, and returns its
// address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	echoServer := &echoServer{listener: listener}
	go echoServer.run()
	return listener.Addr().String()
}

type echoServer struct{ listener net.Listener }

func (echoServer *echoServer) run() {
	for {
		conn, err := echoServer.listener.Accept()
		if err != nil {
			return
		}
		echoConn := &echoConn{conn: conn}
		go echoConn.run()
	}
}

type echoConn struct{ conn net.Conn }

func (echoConn *echoConn) run() {
	_, _ = io.Copy(echoConn.conn, echoConn.conn)
	_ = echoConn.conn.Close()
}

// TestProxy checks that a proxy forwards data, holds back the data of a blocked
// direction until the fault is removed, and resets open connections.
func TestProxy(t *testing.T) {
	proxy, err := newProxy(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.close()
	conn, err := net.Dial("tcp", proxy.address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var noFaults proxyFaults
	for _, proxyFaults := range []proxyFaults{{}, {blockRequests: true}, {blockAnswers: true}} {
		proxy.setFaults(proxyFaults)
		if _, err := io.WriteString(conn, "line\n"); err != nil {
			t.Fatal(err)
		}
		if proxyFaults.blockAnswers || proxyFaults.blockRequests {
			proxy.setFaults(noFaults)
		}
		if line, err := reader.ReadString('\n'); err != nil || line != "line\n" {
			t.Errorf("%+v: got %q, %v", proxyFaults, line, err)
		}
	}
	proxy.reset()
	if _, err := reader.ReadString('\n'); err == nil {
		t.Error("a reset connection still delivers data")
	}
	proxy.setTarget("")
	fresh, err := net.Dial("tcp", proxy.address())
	if err != nil {
		return // The reset may arrive before Dial returns.
	}
	defer func() { _ = fresh.Close() }()
	if _, err := bufio.NewReader(fresh).ReadString('\n'); err == nil {
		t.Error("a proxy without a target answers")
	}
}
