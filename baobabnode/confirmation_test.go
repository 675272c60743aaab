package baobabnode

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// TestConfirmation guards against a node that serves a version that may be older than its last one, and against one
// that waits for a platform that is away.
func TestConfirmation(t *testing.T) {
	away := errors.New("away")
	const short, long = time.Second, 3 * time.Second
	for _, c := range []struct {
		name string
		in   confirmation
		want string // Start of the reason; empty: may serve.
	}{
		{"platform alone", confirmation{version: 3, highest: 3}, ""},
		{"platform and peer", confirmation{answered: 1, version: 3, highest: 3}, ""},
		{"platform and a number that does not exist", confirmation{answered: 1, version: 3, highest: 9}, ""},
		{"platform without a configuration", confirmation{answered: 1}, "no configuration"},
		{"neither", confirmation{platformErr: away, waited: long, version: 3, highest: 3}, "the platform has not"},
		{"peers too early", confirmation{platformErr: away, answered: 2, waited: short, version: 3, highest: 3}, "the platform has not"},
		{"peers alone", confirmation{platformErr: away, answered: 1, waited: long, version: 3, highest: 3}, ""},
		{"peers alone, behind", confirmation{platformErr: away, answered: 1, waited: long, version: 3, highest: 4}, "a newer version"},
		{"peers alone, newest rejected", confirmation{platformErr: away, answered: 1, waited: long, version: 3, highest: 4, rejected: 4}, ""},
		{"peers alone, older rejected", confirmation{platformErr: away, answered: 1, waited: long, version: 3, highest: 5, rejected: 4}, "a newer version"},
		{"peers without a configuration", confirmation{platformErr: away, answered: 1, waited: long}, "no configuration"},
	} {
		c.in.patience = long
		if got := c.in.missing(); (got == "") != (c.want == "") || !strings.HasPrefix(got, c.want) {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
