package emulator

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// FreeAddresses returns count addresses, as IP:port, for processes that listen later.
// They are on a random address of the loopback network: outgoing connections have
// 127.0.0.1 as their own address and take only ports of that one.
func FreeAddresses(count int) ([]string, error) {
	random := func() int { return 1 + rand.IntN(254) }
	host := fmt.Sprintf("127.%d.%d.%d:0", random(), random(), random())
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", host)
		if err != nil {
			return nil, fmt.Errorf("find a free address on the loopback network: %w", err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
