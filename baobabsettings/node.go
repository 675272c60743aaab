package baobabsettings

import (
	"maps"
	"regexp"
)

// Keys and values of labels have a form that selectors can match.
var (
	labelKeyPattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9._/-]{0,62}$`)
	labelValuePattern = regexp.MustCompile(`^[A-Za-z0-9._:/-]{1,128}$`)
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
	r.openSections[section] = true
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
		if !labelKeyPattern.MatchString(key.Name()) {
			r.addProblem(section, key.Name(), "the key is not 1 to 63 lower-case letters, digits, '.', '_', '/' or '-'")
			continue
		}
		if !labelValuePattern.MatchString(value) {
			r.addProblem(section, key.Name(), "the value is not 1 to 128 letters, digits, '.', '_', ':', '/' or '-'")
			continue
		}
		labels[key.Name()] = value
	}
	return labels
}

// ID returns the unique id of the node.
func (n Node) ID() string { return n.id }

// FailureDomain returns the failure domain.
func (n Node) FailureDomain() string { return n.failureDomain }

// Region returns the region.
func (n Node) Region() string { return n.region }

// Labels returns a copy of the labels that selectors match.
func (n Node) Labels() map[string]string { return maps.Clone(n.labels) }
