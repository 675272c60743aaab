package baobabconfiguration

// A Service is a set of upstreams that answer the same requests.
type Service struct {
	identity
	labels Labels
}

type serviceJSON struct {
	Labels map[string]string `json:"labels"`
}

func parseService(name string, text []byte) (Resource, error) {
	var j serviceJSON
	if err := decodeFields(text, &j); err != nil {
		return nil, err
	}
	s := Service{labels: NewLabels(j.Labels)}
	var err error
	s.identity, err = newIdentity(name, serviceJSON{Labels: s.labels.jsonMap()})
	return s, err
}

// Kind implements Resource.
func (s Service) Kind() Kind { return KindService }

// Labels returns the labels, which all upstreams of the service have.
func (s Service) Labels() Labels { return s.labels }
