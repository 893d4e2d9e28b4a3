package launcher

import (
	"bytes"
	"context"
	"os"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/loader"
)

// pollInterval is the time between checks of the settings file for a change
// without a signal.
const pollInterval = time.Second

// reloader applies changes of the settings file, on SIGHUP or when its content
// has changed. It logs the names of the changed settings and of those that take
// effect at once.
type reloader struct {
	gateway *Gateway
	// text is the content of the file when it was last read.
	text []byte
}

// Run watches the file until ctx is done.
func (reloader *reloader) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	reloader.text, _ = os.ReadFile(reloader.gateway.file) // The first call of reload reports a failure.
	for {
		select {
		case <-reloader.gateway.hangups:
			klog.InfoS("reloads", "file", reloader.gateway.file, "cause", "SIGHUP")
			reloader.reload()
		case <-ticker.C:
			reloader.reload()
		case <-ctx.Done():
			return nil
		}
	}
}

// reload reads the file and applies it if the content has changed.
func (reloader *reloader) reload() {
	gateway := reloader.gateway
	text, err := os.ReadFile(gateway.file)
	if err != nil {
		klog.ErrorS(err, "cannot read the settings file; keeping the settings in force", "file", gateway.file)
		return
	}
	if bytes.Equal(text, reloader.text) {
		return
	}
	reloader.text = text
	settings, err := loader.Parse(gateway.file, text)
	if err != nil {
		klog.ErrorS(err, "the settings file is invalid; keeping the settings in force", "file", gateway.file)
		return
	}
	before := gateway.current.Swap(settings)
	var level klog.Level
	if err := level.Set(strconv.Itoa(settings.LogVerbosity())); err != nil {
		klog.ErrorS(err, "cannot set the log verbosity; keeping the previous one", "verbosity", settings.LogVerbosity())
	}
	klog.InfoS("reloaded", "file", gateway.file, "changed", before.Differences(settings),
		"at-once", "[gateway] retry-slack, [gateway] probe-rate, [routing] retry-share, [logs] verbosity; others at the next start")
}
