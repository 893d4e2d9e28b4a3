package launcher

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/setter"
)

// fileInterval is how often the settings file is looked at: it may change
// without a signal.
const fileInterval = time.Second

// reloader takes in changes of the settings file, on SIGHUP or when the file is
// another. What can't change while the process runs is named in the log.
type reloader struct {
	gateway *Gateway
	// text is the file as it was read last.
	text []byte
}

// Run watches the file until ctx is done.
func (reloader *reloader) Run(ctx context.Context) error {
	defer signal.Stop(reloader.gateway.hangups)
	ticker := time.NewTicker(fileInterval)
	defer ticker.Stop()
	reloader.text, _ = os.ReadFile(reloader.gateway.file) // A failure shows at the first look.
	for {
		select {
		case <-reloader.gateway.hangups:
			klog.InfoS("reloads", "file", reloader.gateway.file, "cause", "SIGHUP")
			reloader.look()
		case <-ticker.C:
			reloader.look()
		case <-ctx.Done():
			return nil
		}
	}
}

// look reads the file and takes it in where it is another than before.
func (reloader *reloader) look() {
	gateway := reloader.gateway
	text, err := os.ReadFile(gateway.file)
	if err != nil {
		klog.ErrorS(err, "settings can't be read; those read before stay in force", "file", gateway.file)
		return
	}
	if bytes.Equal(text, reloader.text) {
		return
	}
	reloader.text = text
	settings, err := setter.Parse(gateway.file, text)
	if err != nil {
		klog.ErrorS(err, "settings are wrong; those read before stay in force", "file", gateway.file)
		return
	}
	before := gateway.current.Swap(settings)
	var level klog.Level
	if err := level.Set(strconv.Itoa(settings.LogVerbosity())); err != nil {
		klog.ErrorS(err, "the log's verbosity stays as it was", "verbosity", settings.LogVerbosity())
	}
	klog.InfoS("reloaded", "file", gateway.file, "changed", before.Differences(settings),
		"at-once", "[gateway] retry-slack, [routing] retry-share, [logs] verbosity; others at the next start")
}
