package baobabcommand

import (
	"io"
	"time"

	"github.com/charmbracelet/log"

	"github.com/baobabdale/baobabdale/baobabsettings"
)

// NewLogger returns a logger with the level and format of the settings. Times are in UTC.
func NewLogger(w io.Writer, l baobabsettings.Log) *log.Logger {
	formatters := map[string]log.Formatter{
		"json": log.JSONFormatter, "logfmt": log.LogfmtFormatter, "text": log.TextFormatter,
	}
	level, err := log.ParseLevel(l.Level())
	if err != nil {
		level = log.InfoLevel
	}
	return log.NewWithOptions(w, log.Options{
		Level: level, Formatter: formatters[l.Format()], ReportTimestamp: true,
		TimeFunction: log.NowUTC, TimeFormat: time.RFC3339Nano,
	})
}
