package baobabsettings

import (
	"testing"

	"pgregory.net/rapid"
)

// TestParseSize guards against accepting sizes that overflow, have no unit or are not whole numbers.
func TestParseSize(t *testing.T) {
	for _, c := range []struct {
		text string
		want Size
		ok   bool
	}{
		{"1B", 1, true}, {"1KiB", 1024, true}, {"3MiB", 3 << 20, true}, {"1GiB", 1 << 30, true},
		{"", 0, false}, {"1", 0, false}, {"B", 0, false}, {"-1B", 0, false}, {"1.5MiB", 0, false},
		{"1MB", 0, false}, {"8589934592GiB", 0, false}, {"9223372036854775807B", 1<<63 - 1, true},
	} {
		got, err := ParseSize(c.text)
		if got != c.want || (err == nil) != c.ok {
			t.Errorf("ParseSize(%q) = %d, %v, want %d, ok %t", c.text, got, err, c.want, c.ok)
		}
	}
}

// TestSizeRoundTrip guards against a size that is parsed as another one after it was formatted.
func TestSizeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := Size(rapid.Int64Range(0, 1<<62).Draw(t, "n"))
		got, err := ParseSize(n.String())
		if err != nil || got != n {
			t.Fatalf("ParseSize(%q) = %d, %v, want %d", n.String(), got, err, n)
		}
	})
}
