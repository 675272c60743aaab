package baobabsettings

// Log holds the level and the format of the log.
type Log struct {
	level  string
	format string
}

func readLog(r *reader) Log {
	return Log{
		level:  r.choice("log", "level", "info", "debug", "info", "warn", "error"),
		format: r.choice("log", "format", "text", "text", "json", "logfmt"),
	}
}

// Level returns debug, info, warn or error.
func (l Log) Level() string { return l.level }

// Format returns text, json or logfmt.
func (l Log) Format() string { return l.format }
