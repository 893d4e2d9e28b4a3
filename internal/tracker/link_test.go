package tracker

import (
	"context"
	"time"
)

// link is one direction of a host's network link. Transfers share it.
type link struct {
	// bytesPerSecond is 0 for a link without a limit.
	bytesPerSecond float64
	// turn holds one item while a chunk is on the link.
	turn chan struct{}
}

func newLink(bytesPerSecond float64) *link {
	return &link{bytesPerSecond: bytesPerSecond, turn: make(chan struct{}, 1)}
}

// linkChunk is the size of the pieces in which transfers share a link.
const linkChunk = 16 << 10

// carry transfers a number of bytes over links in turn, and fails when ctx is done.
func carry(ctx context.Context, bytes int, links ...*link) error {
	for ; bytes > 0; bytes -= linkChunk {
		for _, link := range links {
			if link == nil || link.bytesPerSecond == 0 {
				continue
			}
			select {
			case link.turn <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			time.Sleep(time.Duration(float64(min(bytes, linkChunk)) / link.bytesPerSecond * float64(time.Second)))
			<-link.turn
		}
	}
	return ctx.Err()
}

// Sizes of items in transit.
const (
	// itemBytes is the size of an item without its value.
	itemBytes = 100
	// base64Share is the growth of values in the store's answers.
	base64Share = 4.0 / 3
	// compressedShare is the size of a routing table between hosts, as a share of its
	// size in the store: 58 of 768 kB for 4,218 routes.
	compressedShare = 0.08
)

// transitBytes returns the size of items whose values are sent with a share of
// their size.
func transitBytes(items []Item, share float64) int {
	bytes := 0
	for _, item := range items {
		bytes += itemBytes + int(share*float64(len(item.value)))
	}
	return bytes
}

// Link rates of hosts, in bytes a second.
const (
	fastLink = 200e6 / 8
	slowLink = 10e6 / 8
)
