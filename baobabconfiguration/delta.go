package baobabconfiguration

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"
)

// A Delta turns one version into a newer one. It holds only the resources that were added, changed or removed.
type Delta struct {
	base    Version
	next    Version
	changed []Resource    // Sorted by kind and name.
	removed []resourceKey // Sorted by kind and name; none is also in changed.
}

// resourceKey identifies a resource within a document.
type resourceKey struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

type deltaJSON struct {
	Format     int            `json:"format"`
	BaseNumber uint64         `json:"base_number"`
	BaseDigest Digest         `json:"base_digest"`
	Number     uint64         `json:"number"`
	Digest     Digest         `json:"digest"`
	Changed    []resourceJSON `json:"changed"`
	Removed    []resourceKey  `json:"removed"`
}

// compareResource orders k and a resource by kind, then by name.
func (k resourceKey) compareResource(r Resource) int {
	return cmp.Or(cmp.Compare(k.Kind, r.Kind()), cmp.Compare(k.Name, r.Name()))
}

// NewDelta returns the delta from base to next.
func NewDelta(base, next *Snapshot) *Delta {
	d := &Delta{base: base.version, next: next.version}
	for _, c := range Diff(base.document, next.document) {
		if c.after == nil {
			d.removed = append(d.removed, resourceKey{Kind: c.Kind(), Name: c.Name()})
			continue
		}
		d.changed = append(d.changed, c.after)
	}
	return d
}

// Base returns the version that the delta applies to.
func (d *Delta) Base() Version { return d.base }

// Next returns the version that the delta produces.
func (d *Delta) Next() Version { return d.next }

// Len returns the number of resources that are added, changed or removed.
func (d *Delta) Len() int { return len(d.changed) + len(d.removed) }

// Apply returns the next snapshot. It fails if base is not the delta's base version, if the number of the next version is
// not higher, or if the result does not have the digest of the next version.
func (d *Delta) Apply(base *Snapshot) (*Snapshot, error) {
	const operation = "apply delta"
	if base.version != d.base {
		return nil, newError(operation, ErrorWrongBase, errors.Errorf("base is %s, want %s", base.version, d.base))
	}
	if !d.next.Newer(d.base) {
		return nil, newError(operation, ErrorInvalid, errors.Errorf("base %s is not older than next version %s", d.base, d.next))
	}
	list, err := d.mergeResources(base.document.resources)
	if err != nil {
		return nil, newError(operation, ErrorInvalid, err)
	}
	document := &Document{resources: list, digest: computeDigest(list)}
	if document.digest != d.next.Digest() {
		return nil, newError(operation, ErrorDigest, errors.Errorf("digest %s, want %s", document.digest, d.next.Digest()))
	}
	return NewSnapshot(d.next.Number(), document), nil
}

// mergeResources returns the sorted resources of the next version.
func (d *Delta) mergeResources(base []Resource) ([]Resource, error) {
	list := make([]Resource, 0, len(base)+len(d.changed))
	changed, removed := d.changed, d.removed
	for _, r := range base {
		for len(changed) > 0 && compareResources(changed[0], r) < 0 {
			list = append(list, changed[0])
			changed = changed[1:]
		}
		if len(removed) > 0 && removed[0].compareResource(r) == 0 {
			removed = removed[1:]
			continue
		}
		if len(changed) > 0 && compareResources(changed[0], r) == 0 {
			r = changed[0]
			changed = changed[1:]
		}
		list = append(list, r)
	}
	if len(removed) > 0 {
		return nil, errors.Errorf("removes %s %s, which does not exist", removed[0].Kind, removed[0].Name)
	}
	return append(list, changed...), nil
}

// Encode returns the delta as compressed JSON.
func (d *Delta) Encode() ([]byte, error) {
	return encodeCompressed("encode delta", deltaJSON{
		Format:     formatVersion,
		BaseNumber: d.base.Number(),
		BaseDigest: d.base.Digest(),
		Number:     d.next.Number(),
		Digest:     d.next.Digest(),
		Changed:    encodeResources(d.changed),
		Removed:    append([]resourceKey{}, d.removed...),
	})
}

// DecodeDelta decodes an encoded delta.
func DecodeDelta(data []byte) (*Delta, error) {
	const operation = "decode delta"
	var j deltaJSON
	if err := decodeCompressed(operation, data, &j); err != nil {
		return nil, err
	}
	if j.Format != formatVersion {
		return nil, newError(operation, ErrorInvalid, errors.Errorf("format %d, want %d", j.Format, formatVersion))
	}
	changed, err := decodeResources(j.Changed)
	if err != nil {
		return nil, newError(operation, ErrorInvalid, err)
	}
	d := &Delta{
		base:    NewVersion(j.BaseNumber, j.BaseDigest),
		next:    NewVersion(j.Number, j.Digest),
		changed: changed,
		removed: j.Removed,
	}
	if !d.next.Newer(d.base) {
		return nil, newError(operation, ErrorInvalid, errors.Errorf("base %s is not older than next version %s", d.base, d.next))
	}
	if err := d.checkOrder(); err != nil {
		return nil, newError(operation, ErrorInvalid, err)
	}
	return d, nil
}

// checkOrder returns an error unless both lists are sorted, free of duplicates and disjoint.
func (d *Delta) checkOrder() error {
	for i := 1; i < len(d.changed); i++ {
		if compareResources(d.changed[i-1], d.changed[i]) >= 0 {
			return errors.New("changed resources are not sorted")
		}
	}
	for i, k := range d.removed {
		if i > 0 && cmp.Or(cmp.Compare(d.removed[i-1].Kind, k.Kind), cmp.Compare(d.removed[i-1].Name, k.Name)) >= 0 {
			return errors.New("removed resources are not sorted")
		}
		_, found := slices.BinarySearchFunc(d.changed, k, func(r Resource, k resourceKey) int {
			return -k.compareResource(r)
		})
		if found {
			return errors.Errorf("%s %s is both changed and removed", k.Kind, k.Name)
		}
	}
	return nil
}
