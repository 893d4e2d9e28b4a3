package sender

import "github.com/rcrowley/go-metrics"

// meters holds the sender's metrics. The zero value records nothing.
type meters struct {
	// connections counts new connections, and checks the health checks that Probe was not
	// asked for.
	connections, checks metrics.Counter
}

// SetRegistry registers the sender's metrics in registry, under names that begin with
// "sender.".
func (sender *Sender) SetRegistry(registry metrics.Registry) {
	sender.meters = meters{
		connections: metrics.GetOrRegisterCounter("sender.connections", registry),
		checks:      metrics.GetOrRegisterCounter("sender.checks", registry),
	}
}

func (meters *meters) connect() {
	if meters.connections != nil {
		meters.connections.Inc(1)
	}
}

func (meters *meters) check() {
	if meters.checks != nil {
		meters.checks.Inc(1)
	}
}
