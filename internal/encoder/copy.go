package encoder

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/tracker"
)

// maxItemsBytes bounds the decompressed size of a complete copy of the store.
const maxItemsBytes = 64 << 20

// MarshalItems encodes and compresses items of the store; nil for no items.
func MarshalItems(items []tracker.Item) ([]byte, error) {
	if len(items) == 0 {
		return nil, nil
	}
	message := &CopyItems{Items: make([]*CopyItem, 0, len(items))}
	for _, item := range items {
		message.Items = append(message.Items, &CopyItem{
			Key: item.Key(), Value: item.Value(), Revision: item.Revision(), Removed: item.Removed(), Lease: item.Lease(),
		})
	}
	encoded, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode items: %w", err)
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress items: %w", err)
	}
	if _, err := writer.Write(encoded); err != nil {
		return nil, fmt.Errorf("compress items: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress items: %w", err)
	}
	return compressed.Bytes(), nil
}

// UnmarshalItems decodes the output of [MarshalItems].
func UnmarshalItems(compressed []byte) ([]tracker.Item, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxItemsBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress items: %w", err)
	}
	message := new(CopyItems)
	if err := proto.Unmarshal(encoded, message); err != nil {
		return nil, fmt.Errorf("decode items: %w", err)
	}
	items := make([]tracker.Item, 0, len(message.GetItems()))
	for _, item := range message.GetItems() {
		if item.GetRemoved() {
			items = append(items, tracker.RemovedItem(item.GetKey(), item.GetRevision()))
			continue
		}
		items = append(items, tracker.NewItem(item.GetKey(), item.GetValue(), item.GetRevision()).WithLease(item.GetLease()))
	}
	return items, nil
}

// MarshalHost encodes the registration of an entry host.
func MarshalHost(host definer.Host) ([]byte, error) {
	state := HostState_HOST_STATE_LIVE
	if host.State() == definer.Leaving {
		state = HostState_HOST_STATE_LEAVING
	}
	value, err := proto.Marshal(&Member{
		Name: host.Name(), Address: host.Address(), PeerAddress: host.PeerAddress(),
		Region: host.Place().Region(), DataCentre: host.Place().DataCentre(), Incarnation: host.Incarnation(),
		LinkRate: host.LinkRate(), State: state,
	})
	if err != nil {
		return nil, fmt.Errorf("encode host: %w", err)
	}
	return value, nil
}

// UnmarshalHost decodes the output of [MarshalHost].
func UnmarshalHost(value []byte) (definer.Host, error) {
	member := new(Member)
	if err := proto.Unmarshal(value, member); err != nil {
		return definer.Host{}, fmt.Errorf("decode host: %w", err)
	}
	if member.GetName() == "" || member.GetAddress() == "" {
		return definer.Host{}, fmt.Errorf("decode host: name or address missing")
	}
	place := definer.NewPlace(member.GetRegion(), member.GetDataCentre())
	host := definer.NewHost(member.GetName(), member.GetAddress(), member.GetPeerAddress(), place, member.GetIncarnation())
	if member.GetState() == HostState_HOST_STATE_LEAVING {
		host = host.WithState(definer.Leaving)
	}
	return host.WithLinkRate(member.GetLinkRate()), nil
}
