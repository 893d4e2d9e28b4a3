package soaker

import "testing"

// TestPortBlocks checks that two processes never hand out the same port, which two
// soaks at once did.
func TestPortBlocks(t *testing.T) {
	var first, second portAllocator
	handedOut := make(map[int]bool)
	for range portsPerProcess - 1 {
		port, err := first.next()
		if err != nil {
			t.Fatal(err)
		}
		handedOut[port] = true
	}
	defer func() { _ = first.block.Close() }()
	port, err := second.next()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = second.block.Close() }()
	if len(handedOut) != portsPerProcess-1 || handedOut[port] {
		t.Errorf("%d ports of one block; port %d is of both: %v", len(handedOut), port, handedOut[port])
	}
}
