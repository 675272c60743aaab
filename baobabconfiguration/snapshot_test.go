package baobabconfiguration

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/klauspost/compress/zstd"
	"pgregory.net/rapid"
)

func mustDocument(t testing.TB, lines string) *Document {
	t.Helper()
	resources, err := parseResourceLines(lines)
	if err != nil {
		t.Fatal(err)
	}
	d, err := NewDocument(resources)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func errorKind(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind()
	}
	return ""
}

const sampleLines = `service a {"labels": {"tier": "web"}}
policy p {}
route r {"service": "a", "policy": "p"}
selector s {"match": {"tier": "web"}, "routes": ["*"]}
upstream_labels u {"labels": {"zone": "east"}}`

// TestDecodeSnapshotRejectsInvalid guards against accepting a snapshot that is damaged, has unexpected content, or
// decompresses to an unbounded size.
func TestDecodeSnapshotRejectsInvalid(t *testing.T) {
	s := NewSnapshot(3, mustDocument(t, sampleLines))
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	e, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	compress := func(text string) []byte { return e.EncodeAll([]byte(text), nil) }
	damaged := bytes.Clone(data)
	damaged[len(damaged)/2] ^= 1
	var stream bytes.Buffer // A zstd frame without its content size.
	w, err := zstd.NewWriter(&stream)
	if err != nil {
		t.Fatal(err)
	}
	for range MaxDecodedBytes>>20 + 1 {
		if _, err := w.Write(make([]byte, 1<<20)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		data []byte
		want Digest
		kind ErrorKind
	}{
		{"valid", data, s.Version().Digest(), ""},
		{"other digest", data, EmptyDocument().Digest(), ErrorDigest},
		{"no digest", data, Digest{}, ErrorDigest},
		{"truncated", data[:len(data)-1], s.Version().Digest(), ErrorInvalid},
		{"damaged", damaged, s.Version().Digest(), ErrorInvalid},
		{"empty", nil, s.Version().Digest(), ErrorInvalid},
		{"bomb with declared size", e.EncodeAll(make([]byte, MaxDecodedBytes+1), nil), s.Version().Digest(), ErrorSize},
		{"bomb without declared size", stream.Bytes(), s.Version().Digest(), ErrorSize},
		{"other format", compress(`{"format":2,"number":1,"resources":[]}`), s.Version().Digest(), ErrorInvalid},
		{"unknown field", compress(`{"format":1,"more":1}`), s.Version().Digest(), ErrorInvalid},
		{"two objects", compress(`{"format":1}{}`), s.Version().Digest(), ErrorInvalid},
		{"duplicate resource", compress(`{"format":1,"resources":[{"kind":"service","name":"a","spec":{}},` +
			`{"kind":"service","name":"a","spec":{}}]}`), s.Version().Digest(), ErrorInvalid},
	}
	for _, tt := range tests {
		got, err := DecodeSnapshot(tt.data, tt.want)
		if errorKind(err) != tt.kind || (err == nil) != (got != nil) {
			t.Errorf("%s: DecodeSnapshot() = %v, %v, want kind %q", tt.name, got, err, tt.kind)
		}
		if err == nil && got.Version() != s.Version() {
			t.Errorf("%s: version %s, want %s", tt.name, got.Version(), s.Version())
		}
	}
}

// TestDeltaApplyRejectsInvalid guards against applying a delta to a version other than its base, or one that does not
// produce its next version.
func TestDeltaApplyRejectsInvalid(t *testing.T) {
	base := NewSnapshot(1, mustDocument(t, sampleLines))
	next := NewSnapshot(2, mustDocument(t, "service a {}\nservice b {}"))
	other := mustDocument(t, "service c {}")
	wrongDigest := NewDelta(base, next)
	wrongDigest.next = NewVersion(2, other.Digest())
	absent := NewDelta(base, next)
	absent.removed = append(absent.removed, resourceKey{Kind: KindUpstreamLabels, Name: "v"})
	tests := []struct {
		name  string
		delta *Delta
		base  *Snapshot
		kind  ErrorKind
	}{
		{"matching base", NewDelta(base, next), base, ""},
		{"other number", NewDelta(base, next), NewSnapshot(2, base.Document()), ErrorWrongBase},
		{"other content", NewDelta(base, next), NewSnapshot(1, other), ErrorWrongBase},
		{"not newer", NewDelta(next, base), next, ErrorInvalid},
		{"wrong result", wrongDigest, base, ErrorDigest},
		{"removes missing resource", absent, base, ErrorInvalid},
	}
	for _, tt := range tests {
		got, err := tt.delta.Apply(tt.base)
		if errorKind(err) != tt.kind || (err == nil) != (got != nil) {
			t.Errorf("%s: Apply() = %v, %v, want kind %q", tt.name, got, err, tt.kind)
		}
	}
}

func drawDocument(t *rapid.T) *Document {
	line := rapid.Custom(func(t *rapid.T) string {
		kind := rapid.SampledFrom([]Kind{KindService, KindUpstreamLabels}).Draw(t, "kind")
		name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name")
		return fmt.Sprintf(`%s %s {"labels": {"x": "%d"}}`, kind, name, rapid.IntRange(0, 2).Draw(t, "value"))
	})
	kindAndName := func(line string) string { return line[:len(line)-len(` {"labels": {"x": "0"}}`)] }
	resources := []Resource{}
	for _, l := range rapid.SliceOfNDistinct(line, 0, 8, kindAndName).Draw(t, "lines") {
		r, err := parseResourceLines(l)
		if err != nil {
			t.Fatal(err)
		}
		resources = append(resources, r...)
	}
	d, err := NewDocument(resources)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestDeltaChain guards against a proxy that applies deltas and ends with content other than that of a proxy that loads
// the snapshot. Every delta and snapshot is encoded and decoded.
func TestDeltaChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updated := NewSnapshot(0, EmptyDocument())
		for number := range rapid.IntRange(1, 6).Draw(t, "versions") {
			next := NewSnapshot(uint64(number)+1, drawDocument(t))
			delta := NewDelta(updated, next)
			if want := len(Diff(updated.Document(), next.Document())); delta.Len() != want {
				t.Fatalf("delta has %d resources, want %d", delta.Len(), want)
			}
			data, err := delta.Encode()
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := DecodeDelta(data)
			if err != nil {
				t.Fatal(err)
			}
			updated, err = decoded.Apply(updated)
			if err != nil {
				t.Fatal(err)
			}
			data, err = next.Encode()
			if err != nil {
				t.Fatal(err)
			}
			loaded, err := DecodeSnapshot(data, next.Version().Digest())
			if err != nil {
				t.Fatal(err)
			}
			if updated.Version() != loaded.Version() || len(Diff(updated.Document(), loaded.Document())) != 0 {
				t.Fatalf("updated to %s, loaded %s", updated.Version(), loaded.Version())
			}
		}
	})
}
