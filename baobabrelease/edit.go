package baobabrelease

import (
	"strings"

	"github.com/pkg/errors"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

const (
	editPrefix  = "edit/"
	sequenceKey = editPrefix + "sequence"
)

// Revision identifies the content of an edit. Revision 0 denotes an edit that does not exist.
type Revision uint64

// An Edit is the text of one resource as last set by an operator. It takes effect when the candidate is accepted.
type Edit struct {
	kind     configuration.Kind
	name     string
	text     []byte // Canonical JSON.
	revision Revision
}

func editKey(kind configuration.Kind, name string) string {
	return editPrefix + string(kind) + "/" + name
}

func editFromRow(r platform.Row) (Edit, error) {
	kind, name, ok := strings.Cut(strings.TrimPrefix(r.Key(), editPrefix), "/")
	if !ok {
		return Edit{}, errors.Errorf("row key %.64q does not denote an edit", r.Key())
	}
	k, err := configuration.ParseKind(kind)
	if err != nil {
		return Edit{}, err
	}
	return Edit{kind: k, name: name, text: r.Value(), revision: Revision(r.Revision())}, nil
}

// Kind returns the kind of the resource.
func (e Edit) Kind() configuration.Kind { return e.kind }

// Name returns the name of the resource.
func (e Edit) Name() string { return e.name }

// Text returns the canonical JSON text; it must not be modified.
func (e Edit) Text() []byte { return e.text }

// Revision returns the revision that the next change of the edit must expect.
func (e Edit) Revision() Revision { return e.revision }
