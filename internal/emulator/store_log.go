package emulator

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"k8s.io/klog/v2"
)

// logEntry is one write in a store's log.
type logEntry struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Data    []byte `json:"data,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// Keep makes the store take in the writes that the log file has, and add each
// further write to it, so that a store which is killed loses none. Call it
// before the store serves. Leases are not kept.
func (store *Store) Keep(file string) error {
	log, err := os.OpenFile(file, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return fmt.Errorf("open the store's log; name a file that can be written: %w", err)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	end, err := store.replay(log)
	if err == nil {
		// A write that a kill cut off had no answer yet.
		err = log.Truncate(end)
	}
	if err == nil {
		_, err = log.Seek(end, io.SeekStart)
	}
	if err != nil {
		_ = log.Close()
		return fmt.Errorf("read the store's log %s; remove it to begin anew: %w", file, err)
	}
	store.log = log
	return nil
}

// replay takes in the whole entries of log and returns where they end.
func (store *Store) replay(log io.Reader) (int64, error) {
	reader := bufio.NewReader(log)
	var end int64
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return end, nil
		}
		if err != nil {
			return end, err
		}
		var entry logEntry
		if err := json.Unmarshal(line, &entry); err != nil {
			return end, err
		}
		end += int64(len(line))
		store.redo(entry)
	}
}

func (store *Store) redo(entry logEntry) {
	store.revision = max(store.revision, entry.Version)
	if entry.Removed {
		delete(store.values, entry.Key)
		return
	}
	if store.values == nil {
		store.values = make(map[string]value)
	}
	store.values[entry.Key] = value{data: entry.Data, version: entry.Version}
}

// note adds a write to the log, if there is one. It is called with mu held.
func (store *Store) note(entry logEntry) {
	if store.log == nil {
		return
	}
	line, err := json.Marshal(entry)
	if err == nil {
		_, err = store.log.Write(append(line, '\n'))
	}
	if err != nil {
		klog.ErrorS(err, "a write is not in the store's log")
	}
}
