package baobabnode

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// TestStartupCheck guards against a node that serves a version that may be older than the one of its previous run, and
// against a node that waits forever for an unavailable platform.
func TestStartupCheck(t *testing.T) {
	unavailable := errors.New("away")
	const beforeWait, afterWait = time.Second, 3 * time.Second
	for _, c := range []struct {
		name string
		in   startupCheck
		want string // Prefix of the reason; empty if the node may serve.
	}{
		{"platform alone", startupCheck{version: 3, highest: 3}, ""},
		{"platform and peer", startupCheck{peersAnswered: 1, version: 3, highest: 3}, ""},
		{"platform and a number that does not exist", startupCheck{peersAnswered: 1, version: 3, highest: 9}, ""},
		{"platform without a configuration", startupCheck{peersAnswered: 1}, "no configuration"},
		{"neither", startupCheck{platformErr: unavailable, waited: afterWait, version: 3, highest: 3}, "the platform has not"},
		{"peers too early", startupCheck{platformErr: unavailable, peersAnswered: 2, waited: beforeWait, version: 3, highest: 3}, "the platform has not"},
		{"peers alone", startupCheck{platformErr: unavailable, peersAnswered: 1, waited: afterWait, version: 3, highest: 3}, ""},
		{"peers alone, behind", startupCheck{platformErr: unavailable, peersAnswered: 1, waited: afterWait, version: 3, highest: 4}, "a newer version"},
		{"peers alone, newest rejected", startupCheck{platformErr: unavailable, peersAnswered: 1, waited: afterWait, version: 3, highest: 4, rejected: 4}, ""},
		{"peers alone, older rejected", startupCheck{platformErr: unavailable, peersAnswered: 1, waited: afterWait, version: 3, highest: 5, rejected: 4}, "a newer version"},
		{"peers without a configuration", startupCheck{platformErr: unavailable, peersAnswered: 1, waited: afterWait}, "no configuration"},
	} {
		c.in.platformWait = afterWait
		if got := c.in.notReadyReason(); (got == "") != (c.want == "") || !strings.HasPrefix(got, c.want) {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
