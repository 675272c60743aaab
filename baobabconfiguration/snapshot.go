package baobabconfiguration

import "github.com/pkg/errors"

// A Snapshot is a document with its version.
type Snapshot struct {
	version  Version
	document *Document
}

type snapshotJSON struct {
	Format    int            `json:"format"`
	Number    uint64         `json:"number"`
	Resources []resourceJSON `json:"resources"`
}

// NewSnapshot returns the snapshot of the document with the version number.
func NewSnapshot(number uint64, d *Document) *Snapshot {
	return &Snapshot{version: NewVersion(number, d.Digest()), document: d}
}

// Version returns the version.
func (s *Snapshot) Version() Version { return s.version }

// Document returns the document.
func (s *Snapshot) Document() *Document { return s.document }

// Encode returns the snapshot as compressed JSON.
func (s *Snapshot) Encode() ([]byte, error) {
	return encodeCompressed("encode snapshot", snapshotJSON{
		Format:    formatVersion,
		Number:    s.version.Number(),
		Resources: encodeResources(s.document.resources),
	})
}

// DecodeSnapshot decodes an encoded snapshot. It fails unless the content has the expected digest.
func DecodeSnapshot(data []byte, expected Digest) (*Snapshot, error) {
	const operation = "decode snapshot"
	var j snapshotJSON
	if err := decodeCompressed(operation, data, &j); err != nil {
		return nil, err
	}
	if j.Format != formatVersion {
		return nil, newError(operation, ErrorInvalid, errors.Errorf("format %d, want %d", j.Format, formatVersion))
	}
	resources, err := decodeResources(j.Resources)
	if err != nil {
		return nil, newError(operation, ErrorInvalid, err)
	}
	d, err := NewDocument(resources)
	if err != nil {
		return nil, newError(operation, ErrorInvalid, err)
	}
	if d.Digest() != expected {
		return nil, newError(operation, ErrorDigest, errors.Errorf("digest %s, want %s", d.Digest(), expected))
	}
	return NewSnapshot(j.Number, d), nil
}
