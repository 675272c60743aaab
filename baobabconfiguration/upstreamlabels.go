package baobabconfiguration

// UpstreamLabels holds the labels that operators set on an upstream. Its name is the id of the upstream, which need not
// be running.
type UpstreamLabels struct {
	baseResource
	labels Labels
}

type upstreamLabelsJSON struct {
	Labels map[string]string `json:"labels"`
}

func parseUpstreamLabels(name string, text []byte) (Resource, error) {
	var j upstreamLabelsJSON
	if err := decodeObject(text, &j); err != nil {
		return nil, err
	}
	u := UpstreamLabels{labels: NewLabels(j.Labels)}
	var err error
	u.baseResource, err = newBaseResource(name, upstreamLabelsJSON{Labels: u.labels.jsonMap()})
	return u, err
}

// Kind implements Resource.
func (u UpstreamLabels) Kind() Kind { return KindUpstreamLabels }

// Labels returns the labels.
func (u UpstreamLabels) Labels() Labels { return u.labels }
