package baobabsettings

import (
	"maps"
	"unicode"
)

// Bounds of node labels in bytes.
const (
	maxLabelKeyBytes   = 64
	maxLabelValueBytes = 256
)

// Node identifies a node.
type Node struct {
	id            string // Unique in the mesh.
	failureDomain string
	region        string
	labels        map[string]string
}

func readNode(r *reader) Node {
	return Node{
		id:            r.identifier("node", "id"),
		failureDomain: r.identifier("node", "failure_domain"),
		region:        r.identifier("node", "region"),
		labels:        readLabels(r),
	}
}

func readLabels(r *reader) map[string]string {
	const section = "node_labels"
	r.free[section] = true
	labels := map[string]string{}
	s, err := r.file.GetSection(section)
	if err != nil {
		return labels
	}
	for _, key := range s.Keys() {
		value, ok := r.value(section, key.Name())
		if !ok {
			continue
		}
		if !isIdentifier(key.Name()) {
			r.problem(section, key.Name(), "the key is not 1 to %d letters, digits, dots, hyphens or underscores", maxLabelKeyBytes)
			continue
		}
		if len(value) > maxLabelValueBytes || !isPrintable(value) {
			r.problem(section, key.Name(), "the value is not 1 to %d bytes of printable text", maxLabelValueBytes)
			continue
		}
		labels[key.Name()] = value
	}
	return labels
}

func isPrintable(s string) bool {
	for _, c := range s {
		if !unicode.IsPrint(c) {
			return false
		}
	}
	return true
}

// ID returns the unique id of the node.
func (n Node) ID() string { return n.id }

// FailureDomain returns the failure domain.
func (n Node) FailureDomain() string { return n.failureDomain }

// Region returns the region.
func (n Node) Region() string { return n.region }

// Labels returns a copy of the labels that selectors match.
func (n Node) Labels() map[string]string { return maps.Clone(n.labels) }
