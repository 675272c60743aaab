package baobabsettings

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

const minimalSettings = `[node]
id = n1
failure_domain = a
region = r
[listen]
entry_address = 127.0.0.1:1
peer_address = 127.0.0.1:2
operator_address = 127.0.0.1:3
announce_address = 127.0.0.1:4
[platform]
url = http://127.0.0.1:5
[peers]
key_file = key
[operator]
token_file = token
`

// readTestFile returns the contents of the files that the settings of the tests name.
func readTestFile(name string) ([]byte, error) {
	switch name {
	case "key", "token", "peer.key", "operator.token":
		return []byte("0123456789abcdef\n"), nil
	case "short":
		return []byte("0123456789abcde\n"), nil
	}
	return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
}

// TestParseMinimal guards against a setting with a default that is treated as required.
func TestParseMinimal(t *testing.T) {
	s, err := Parse("node.ini", []byte(minimalSettings), readTestFile)
	if err != nil {
		t.Fatalf("Parse() = %v", err)
	}
	if got := s.Operator().Token(); got != "0123456789abcdef" {
		t.Errorf("Token() = %q, want the file without its line end", got)
	}
	if got := s.Membership().ProbeInterval(); got != time.Second {
		t.Errorf("ProbeInterval() = %s, want 1s", got)
	}
	if len(s.Peers().Seeds()) != 0 || s.Peers().Certificate() != nil {
		t.Errorf("Peers() = %v, want no seeds and no certificate", s.Peers())
	}
}

// TestExampleFile guards against an example file that is not valid or shows other defaults than the reader has.
func TestExampleFile(t *testing.T) {
	name := filepath.Join("..", "docs", "examples", "node.ini")
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse(name, data, readTestFile)
	if err != nil {
		t.Fatalf("Parse() = %v", err)
	}
	defaults, err := Parse("node.ini", []byte(minimalSettings), readTestFile)
	if err != nil {
		t.Fatal(err)
	}
	if s.Limits() != defaults.Limits() || s.Call() != defaults.Call() || s.Claim() != defaults.Claim() ||
		s.Log() != defaults.Log() || s.Admission() != defaults.Admission() || s.Membership() != defaults.Membership() ||
		s.Shutdown() != defaults.Shutdown() || s.Accounts() != defaults.Accounts() || s.Rollouts() != defaults.Rollouts() {
		t.Error("the example shows a value as default that is not the default")
	}
	if got := s.Node().Labels()["tier"]; got != "urgent" {
		t.Errorf("label tier = %q, want urgent", got)
	}
	if got := len(s.Peers().Seeds()); got != 2 {
		t.Errorf("%d seeds, want 2", got)
	}
}

// TestProblems guards against an error in a settings file that is accepted or reported in the wrong place.
func TestProblems(t *testing.T) {
	for _, c := range []struct {
		name     string
		from, to string // Replaced in the minimal settings; an empty from appends.
		want     []string
	}{
		{"unknown key", "", "[call]\nspeed = 1\n", []string{"[call] speed: unknown key"}},
		{"no number", "", "[balance]\nlink_mbps = NaN\n", []string{"[balance] link_mbps: \"NaN\" is not a number"}},
		{"near costs more than far", "", "[balance]\nleave_domain_saving = 20ms\n", []string{
			"[balance] leave_region_saving: 0s is shorter than leave_domain_saving 20ms"}},
		{"unknown section", "", "[coffee]\n", []string{"[coffee]: unknown section"}},
		{"child section", "", "[node.a]\nid = x\n", []string{"[node.a]: unknown section"}},
		{"no section", "[node]", "x = 1\n[node]", []string{"key x is outside of a section"}},
		{"no delimiter", "id = n1", "id n1", []string{
			"[listen] announce_address: a value is required", "[listen] entry_address: a value is required",
			"[listen] operator_address: a value is required", "[listen] peer_address: a value is required",
			"[node] failure_domain: a value is required", "[node] id: a value is required",
			"[node] region: a value is required", "[operator] token_file: a value is required",
			"[peers] key_file: key_file or the three TLS files are required",
			"[platform] url: a value is required", "key-value delimiter not found: id n1"}},
		{"repeated key", "region = r", "region = r\nregion = r", []string{"[node] region: the key occurs more than once"}},
		{"repeated empty key", "region = r", "region = r\nregion =", []string{
			"[node] region: the key occurs more than once", "[node] region: the value is empty"}},
		{"repeated section", "", "[node]\n", []string{"[node]: the section occurs more than once"}},
		{"missing", "id = n1\n", "", []string{"[node] id: a value is required"}},
		{"empty", "id = n1\n", "id =\n", []string{"[node] id: the value is empty"}},
		{"bad id", "id = n1\n", "id = n 1\n",
			[]string{`[node] id: "n 1" is not 1 to 64 letters, digits, dots, hyphens or underscores`}},
		{"incarnation", "id = n1\n", "id = n1\nincarnation = 3\n", []string{"[node] incarnation: unknown key"}},
		{"host name", "127.0.0.1:1\n", "localhost:1\n", []string{`[listen] entry_address: "localhost:1" is not ip:port`}},
		{"port 0", "127.0.0.1:1\n", "127.0.0.1:0\n", []string{`[listen] entry_address: "127.0.0.1:0" has port 0`}},
		{"unspecified", "127.0.0.1:2\n", "0.0.0.0:2\n",
			[]string{"[listen] peer_address: 0.0.0.0:2 is not an address that other nodes can dial"}},
		{"same address", "127.0.0.1:2\n", "127.0.0.1:1\n",
			[]string{"[listen] peer_address: 127.0.0.1:1 is also entry_address"}},
		{"url", "http://", "ftp://", []string{`[platform] url: "ftp://127.0.0.1:5" is not an http or https URL`}},
		{"no unit", "", "[call]\nmax_timeout = 30\n", []string{`[call] max_timeout: "30" is not a duration such as 250ms`}},
		{"range", "", "[call]\nmax_timeout = 11m\n", []string{"[call] max_timeout: 11m0s is not between 1ms and 10m0s"}},
		{"order", "", "[call]\nmax_timeout = 1s\n",
			[]string{"[call] default_timeout: 5s is longer than max_timeout 1s"}},
		{"probe order", "", "[membership]\nprobe_timeout = 1s\n",
			[]string{"[membership] probe_timeout: 1s is not shorter than probe_interval 1s"}},
		{"size unit", "", "[limits]\nmax_body_size = 1MB\n",
			[]string{`[limits] max_body_size: "1MB" is not a size such as 64KiB`}},
		{"size range", "", "[limits]\nmax_body_size = 2GiB\n",
			[]string{"[limits] max_body_size: 2GiB is not between 1KiB and 1GiB"}},
		{"number", "", "[limits]\nmax_calls = many\n", []string{`[limits] max_calls: "many" is not a whole number`}},
		{"withdrawal limit", "", "[accounts]\nwithdrawal_limit = 2s\n",
			[]string{"[accounts] withdrawal_limit: 2s is neither 0s nor at least 3s"}},
		{"number range", "", "[limits]\nmax_calls = 0\n", []string{"[limits] max_calls: 0 is not between 1 and 1048576"}},
		{"choice", "", "[log]\nlevel = loud\n", []string{`[log] level: "loud" is not one of debug, info, warn, error`}},
		{"seed", "key_file = key", "key_file = key\nseeds = 127.0.0.1:9, b:1, 127.0.0.1:9", []string{
			`[peers] seeds: "b:1" is not ip:port`, "[peers] seeds: 127.0.0.1:9 occurs more than once"}},
		{"key and TLS", "key_file = key", "key_file = key\ntls_ca_file = ca",
			[]string{"[peers] key_file: either a key or TLS files are given, not both"}},
		{"neither key nor TLS", "key_file = key", "", []string{"[peers] key_file: key_file or the three TLS files are required"}},
		{"incomplete TLS", "key_file = key", "tls_ca_file = ca", []string{
			"[peers] tls_ca_file: open ca: file does not exist",
			"[peers] tls_certificate_file: a value is required with TLS",
			"[peers] tls_key_file: a value is required with TLS"}},
		{"short token", "= token", "= short", []string{"[operator] token_file: short has 15 bytes, at least 16 are needed"}},
		{"missing token file", "= token", "= gone", []string{"[operator] token_file: open gone: file does not exist"}},
		{"root admission alone", "", "[admission]\nroot_admission = on\n",
			[]string{"[admission] root_admission: requires nested_priority = on"}},
		{"label", "", "[node_labels]\na b = c\n",
			[]string{"[node_labels] a b: the key is not 1 to 63 lower-case letters, digits, '.', '_', '/' or '-'"}},
		{"label value", "", "[node_labels]\na = b c\n",
			[]string{"[node_labels] a: the value is not 1 to 128 letters, digits, '.', '_', ':', '/' or '-'"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(minimalSettings, c.from, c.to, 1)
			if c.from == "" {
				text = minimalSettings + c.to
			}
			_, err := Parse("node.ini", []byte(text), readTestFile)
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("Parse() = %v, want an *Error", err)
			}
			var got []string
			for _, p := range e.Problems() {
				got = append(got, strings.TrimPrefix(p.String(), "node.ini: "))
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("problems:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(c.want, "\n"))
			}
		})
	}
}

// TestLoad guards against file names that are resolved against the working directory of the process, and against a
// missing settings file that is not reported as unreadable.
func TestLoad(t *testing.T) {
	folder := t.TempDir()
	for name, text := range map[string]string{
		"node.ini": minimalSettings, "key": "0123456789abcdef", "token": "fedcba9876543210",
	} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s, err := Load(filepath.Join(folder, "node.ini"))
	if err != nil {
		t.Fatalf("Load() = %v", err)
	}
	if string(s.Peers().Key()) != "0123456789abcdef" {
		t.Error("Key() is not the content of the key file")
	}
	_, err = Load(filepath.Join(folder, "gone.ini"))
	var e *Error
	if !errors.As(err, &e) || e.Kind() != KindUnreadable || !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("Load() of a missing file = %v, want KindUnreadable", err)
	}
}

// FuzzParse guards against a panic, and against problems that are not sorted or not on one line each.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("node.ini", data, readTestFile)
		if err == nil {
			if s.Node().ID() == "" || s.Operator().Token() == "" {
				t.Error("settings without a required value were accepted")
			}
			return
		}
		var e *Error
		if !errors.As(err, &e) {
			t.Fatalf("Parse() = %v, want an *Error", err)
		}
		lines := strings.Split(e.Error(), "\n")
		if len(lines) != len(e.Problems()) || !slices.IsSorted(lines) {
			t.Errorf("%d problems, lines: %q", len(e.Problems()), lines)
		}
	})
}
