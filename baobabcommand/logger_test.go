package baobabcommand

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/baobabdale/baobabdale/baobabsettings"
)

// TestLogger guards against a level or format in the settings that has no effect.
func TestLogger(t *testing.T) {
	for _, c := range []struct{ format, want string }{
		{"json", `"level":"warn","msg":"shown","node":"n1"`},
		{"logfmt", `level=warn msg=shown node=n1`},
		{"text", `WARN shown node=n1`},
	} {
		text := "[log]\nlevel = warn\nformat = " + c.format + "\n"
		s, err := baobabsettings.Load(writeSettings(t, text))
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		l := NewLogger(&b, s.Log())
		l.Info("hidden")
		l.Warn("shown", "node", "n1")
		if !strings.Contains(b.String(), c.want) || strings.Contains(b.String(), "hidden") {
			t.Errorf("format %s: %s, want %s", c.format, b.String(), c.want)
		}
	}
}

// writeSettings writes valid settings, with text appended, and the files that they name. It returns the settings file.
func writeSettings(t *testing.T, appended string) string {
	t.Helper()
	base, err := os.ReadFile("testdata/node.ini")
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	for name, data := range map[string][]byte{
		"node.ini": append(base, appended...), "peer.key": []byte("0123456789abcdef"), "operator.token": []byte("0123456789abcdef"),
	} {
		if err := os.WriteFile(filepath.Join(folder, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(folder, "node.ini")
}
