package baobabconfiguration

// A Service is a set of upstreams that serve the same requests.
type Service struct {
	baseResource
	labels Labels
}

type serviceJSON struct {
	Labels map[string]string `json:"labels"`
}

func parseService(name string, text []byte) (Resource, error) {
	var j serviceJSON
	if err := decodeObject(text, &j); err != nil {
		return nil, err
	}
	s := Service{labels: NewLabels(j.Labels)}
	var err error
	s.baseResource, err = newBaseResource(name, serviceJSON{Labels: s.labels.jsonMap()})
	return s, err
}

// Kind implements Resource.
func (s Service) Kind() Kind { return KindService }

// Labels returns the labels, which apply to all upstreams of the service.
func (s Service) Labels() Labels { return s.labels }
