package baobabconfiguration

import (
	"testing"

	"github.com/klauspost/compress/zstd"
)

// FuzzDecodeSnapshot guards against a snapshot from a peer that crashes a node. It decodes each input both unchanged and
// after compressing it.
func FuzzDecodeSnapshot(f *testing.F) {
	data, err := NewSnapshot(1, mustDocument(f, sampleLines)).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte(`{"format":1,"number":1,"resources":[{"kind":"route","name":"r","spec":{"service":"a","timeout":"1s"}}]}`))
	f.Add([]byte(`{"format":1,"resources":[{"kind":"policy","name":"p","spec":{"ranks":[{"name":"x"}]}}]}`))
	e, err := zstd.NewWriter(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, data := range [][]byte{b, e.EncodeAll(b, nil)} {
			s, err := DecodeSnapshot(data, EmptyDocument().Digest())
			if err == nil && len(s.Document().Resources()) != 0 {
				t.Errorf("DecodeSnapshot() = %s, want only content with the expected digest", s.Version())
			}
		}
	})
}

// FuzzDecodeDelta guards against a delta from a peer that crashes a node or produces content with another digest.
func FuzzDecodeDelta(f *testing.F) {
	base := NewSnapshot(1, mustDocument(f, sampleLines))
	data, err := NewDelta(base, NewSnapshot(2, mustDocument(f, "service a {}"))).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte(`{"format":1,"base_number":1,"number":2,"changed":[{"kind":"service","name":"a","spec":{}}],` +
		`"removed":[{"kind":"route","name":"r"}]}`))
	e, err := zstd.NewWriter(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, data := range [][]byte{b, e.EncodeAll(b, nil)} {
			d, err := DecodeDelta(data)
			if err != nil {
				continue
			}
			d.base = base.Version() // Apply rejects a delta with another base before it merges.
			s, err := d.Apply(base)
			if err == nil && s.Version() != d.Next() {
				t.Errorf("Apply() = %s, want %s", s.Version(), d.Next())
			}
		}
	})
}
