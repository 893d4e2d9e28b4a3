package runner

// Hindrances returns what keeps the host from its work, with the remedy.
func (daemon *Daemon) Hindrances() []string {
	var hindrances []string
	if daemon.follower.Current().Revision() == 0 {
		hindrances = append(hindrances,
			"no configuration is in force here; check that the platform's store or a peer can be reached, "+
				"or found the committee with chivesctl bootstrap")
	}
	if daemon.leaving.Load() {
		hindrances = append(hindrances, "the host is leaving; send callers to another")
	}
	return hindrances
}
