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

// logEntry is one write in the store's log.
type logEntry struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Data    []byte `json:"data,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// OpenLog replays the writes in the log file and appends each further write to it,
// so that a killed store loses none. It must be called before the store serves.
// Leases are not persisted.
func (store *Store) OpenLog(file string) error {
	log, err := os.OpenFile(file, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return fmt.Errorf("open the store's log; specify a writable file: %w", err)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	end, err := store.replay(log)
	if err == nil {
		// A write truncated by a kill was never acknowledged.
		err = log.Truncate(end)
	}
	if err == nil {
		_, err = log.Seek(end, io.SeekStart)
	}
	if err != nil {
		_ = log.Close()
		return fmt.Errorf("replay the store's log %s; remove the file to start with an empty store: %w", file, err)
	}
	store.log = log
	return nil
}

// replay applies the complete entries of log and returns the offset of their end.
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
		store.apply(entry)
	}
}

func (store *Store) apply(entry logEntry) {
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

// appendLog appends a write to the log, if there is one. The caller holds mu.
func (store *Store) appendLog(entry logEntry) {
	if store.log == nil {
		return
	}
	line, err := json.Marshal(entry)
	if err == nil {
		_, err = store.log.Write(append(line, '\n'))
	}
	if err != nil {
		klog.ErrorS(err, "cannot append a write to the store's log")
	}
}
