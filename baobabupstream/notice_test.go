package baobabupstream

import (
	"net/http"
	"testing"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// TestParseNotice guards against malformed limits that stop or unleash an upstream.
func TestParseNotice(t *testing.T) {
	for _, c := range []struct {
		limit, leaving string
		wantLimit      float64 // -1 for none.
		wantLeaving    bool
	}{
		{"", "", -1, false},
		{"22.8", "", 22.8, false},
		{"0", "1", 0, true},
		{"-3", "0", -1, false},
		{"NaN", "true", -1, false},
		{"Inf", "", -1, false},
		{"1e400", "", -1, false},
		{"fast", "", -1, false},
	} {
		h := http.Header{}
		h.Set("Baobab-Request-Limit", c.limit)
		h.Set("Baobab-Leaving", c.leaving)
		n := ParseNotice(call.DefaultHeaderNames(), h)
		limit, ok := n.RequestLimit()
		if ok != (c.wantLimit >= 0) || ok && limit != c.wantLimit || n.Leaving() != c.wantLeaving {
			t.Errorf("limit %q, leaving %q: %v %t, %t", c.limit, c.leaving, limit, ok, n.Leaving())
		}
	}
}
