package baobabsettings

// Rollouts holds the settings of progressive roll-outs.
type Rollouts struct {
	enabled bool
}

func readRollouts(r *reader) Rollouts {
	return Rollouts{enabled: r.choice("rollouts", "enabled", "no", "no", "yes") == "yes"}
}

// Enabled reports whether a service's calls stay at the version in use, which its upstreams state with the label "version",
// until an operator orders a roll-out of another one.
func (r Rollouts) Enabled() bool { return r.enabled }
