package emulator

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// TestConnectionTakesFreeAddress checks that an address stays free although outgoing
// connections take ports. A gateway of a test found its port taken (CI, TestDeadlyRequest).
func TestConnectionTakesFreeAddress(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	usual, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = usual.Close() })
	addresses, err := FreeAddresses(4)
	if err != nil {
		t.Fatal(err)
	}
	for _, address := range addresses {
		free, err := net.ResolveTCPAddr("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		// The connection has the address that the system gives to outgoing connections, and
		// the port of the free address, as it may happen.
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: usual.LocalAddr().(*net.TCPAddr).IP, Port: free.Port}}
		connection, err := dialer.Dial("tcp", server.Addr().String())
		switch {
		case err == nil:
			t.Cleanup(func() { _ = connection.Close() })
		case !errors.Is(err, syscall.EADDRINUSE): // Another connection has the port already.
			t.Fatal(err)
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("a connection from %v takes a free address: %v", dialer.LocalAddr, err)
			continue
		}
		_ = listener.Close()
	}
}
