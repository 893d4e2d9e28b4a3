package connector

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// MaxValueBytes is the largest size of a value in the store.
const MaxValueBytes = 1 << 20

// Store is the client of the platform's key-value store. It is safe for concurrent
// use. Each method fails with a [CallError] whose kind states what the caller may
// conclude. No method retries a call.
type Store struct {
	Caller
}

// NewStore returns the client of the store at baseURL.
func NewStore(baseURL string, options ...Option) *Store {
	return &Store{Caller: NewCaller(baseURL, "store", options...)}
}

// wireEntry is the JSON form of an entry.
type wireEntry struct {
	Data    []byte `json:"data"`
	Version uint64 `json:"version"`
}

// wireWrite is the JSON body of a compare-and-swap request.
type wireWrite struct {
	Version uint64 `json:"version"`
	Data    []byte `json:"data"`
}

// Get reads key. A key that doesn't exist has version 0 and is not an error.
func (store *Store) Get(ctx context.Context, key string) (Entry, error) {
	store.calls.reads.Inc(1)
	var answer wireEntry
	err := store.do(ctx, Call{operation: "get " + key, method: http.MethodGet, path: keyPath(key)}, &answer)
	return NewEntry(answer.Data, answer.Version), err
}

// CompareAndSwap writes data to key if the key is still at version, and returns the
// new entry. Version 0 means that the key must not exist.
func (store *Store) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (Entry, error) {
	operation := "compare-and-swap " + key
	if len(data) > MaxValueBytes {
		return Entry{}, NewError(TooLarge, operation, fmt.Errorf("the value has %d bytes", len(data)))
	}
	store.calls.writes.Inc(1)
	var answer wireEntry
	err := store.do(ctx, Call{
		operation: operation, method: http.MethodPut, path: keyPath(key),
		effect: true, body: wireWrite{Version: version, Data: data},
	}, &answer)
	if err != nil {
		return Entry{}, err
	}
	return NewEntry(data, answer.Version), nil
}

// Delete removes key if it is still at version.
func (store *Store) Delete(ctx context.Context, key string, version uint64) error {
	store.calls.writes.Inc(1)
	return store.do(ctx, Call{
		operation: "delete " + key, method: http.MethodDelete,
		path: fmt.Sprintf("%s?version=%d", keyPath(key), version), effect: true,
	}, &wireEntry{})
}

// Watch waits until key has a version greater than version, and returns the entry.
// It fails as Unchanged if that does not happen within wait.
func (store *Store) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (Entry, error) {
	store.calls.watches.Inc(1)
	var answer wireEntry
	err := store.do(ctx, Call{
		operation: "watch " + key, method: http.MethodGet, wait: wait,
		path: fmt.Sprintf("%s?after=%d&wait-ms=%d", keyPath(key), version, wait.Milliseconds()),
	}, &answer)
	return NewEntry(answer.Data, answer.Version), err
}

func keyPath(key string) string { return "/keys/" + url.PathEscape(key) }
