package baobabsettings

import (
	"net/url"
	"time"
)

// Platform holds the settings of the platform client.
type Platform struct {
	url          string
	timeout      time.Duration // Of one request.
	pollInterval time.Duration // Between two reads of the head by the nodes that poll.
	startWait    time.Duration // Of a starting node for the platform.
}

func readPlatform(r *reader) Platform {
	return Platform{
		url:          readURL(r, "platform", "url"),
		timeout:      r.duration("platform", "timeout", 2*time.Second, 10*time.Millisecond, time.Minute),
		startWait:    r.duration("platform", "start_patience", 3*time.Second, 10*time.Millisecond, time.Minute),
		pollInterval: r.duration("platform", "poll_interval", 500*time.Millisecond, 10*time.Millisecond, time.Minute),
	}
}

func readURL(r *reader, section, key string) string {
	v, ok := r.required(section, key)
	if !ok {
		return ""
	}
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		r.addProblem(section, key, "%q is not an http or https URL", v)
		return ""
	}
	return v
}

// URL returns the base URL.
func (p Platform) URL() string { return p.url }

// Timeout returns the time allowed for one request.
func (p Platform) Timeout() time.Duration { return p.timeout }

// PollInterval returns the time between two reads of the head.
func (p Platform) PollInterval() time.Duration { return p.pollInterval }

// StartWait returns how long a starting node waits for the platform before it relies on the version of its peers alone.
func (p Platform) StartWait() time.Duration { return p.startWait }
