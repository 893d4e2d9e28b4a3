package emulator

import (
	"os"
	"path/filepath"
	"testing"
)

func TestStoreKeepsWritesOverAKill(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	var before Store
	if err := before.Keep(file); err != nil {
		t.Fatal(err)
	}
	kept, _ := before.compareAndSwap("a", 0, []byte("one"))
	gone, _ := before.compareAndSwap("b", 0, []byte("two"))
	before.remove("b", gone.version)
	// A kill in the midst of a write leaves half a line.
	half, err := os.OpenFile(file, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = half.WriteString(`{"key":"a","vers`)
	_ = half.Close()

	for range 2 {
		var after Store
		if err := after.Keep(file); err != nil {
			t.Fatal(err)
		}
		if got := after.get("a"); got.version != kept.version || string(got.data) != "one" {
			t.Fatalf("a is %+v", got)
		}
		if got := after.get("b"); got.version != 0 {
			t.Fatalf("b is %+v", got)
		}
		if written, _ := after.compareAndSwap("c", after.get("c").version, nil); written.version <= gone.version {
			t.Fatalf("versions went back to %d", written.version)
		}
	}
}
