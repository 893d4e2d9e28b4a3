package emulator

import (
	"os"
	"path/filepath"
	"testing"
)

func TestStoreLogSurvivesKill(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	var before Store
	if err := before.OpenLog(file); err != nil {
		t.Fatal(err)
	}
	kept, _ := before.compareAndSwap("a", 0, []byte("one"))
	removed, _ := before.compareAndSwap("b", 0, []byte("two"))
	before.remove("b", removed.version)
	// A kill during a write leaves an incomplete line.
	torn, err := os.OpenFile(file, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = torn.WriteString(`{"key":"a","vers`)
	_ = torn.Close()

	for range 2 {
		var after Store
		if err := after.OpenLog(file); err != nil {
			t.Fatal(err)
		}
		if got := after.get("a"); got.version != kept.version || string(got.data) != "one" {
			t.Fatalf("got %+v for key a", got)
		}
		if got := after.get("b"); got.version != 0 {
			t.Fatalf("got %+v for removed key b", got)
		}
		if written, _ := after.compareAndSwap("c", after.get("c").version, nil); written.version <= removed.version {
			t.Fatalf("got version %d, not newer than the last one before the kill", written.version)
		}
	}
}
