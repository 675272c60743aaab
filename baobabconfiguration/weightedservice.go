package baobabconfiguration

// A WeightedService is a service with its share of a route's calls.
type WeightedService struct {
	service string
	weight  int // Relative to the sum of the route's weights; 0 or more.
}

type weightedServiceJSON struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service returns the name of the service.
func (w WeightedService) Service() string { return w.service }

// Weight returns the weight relative to the sum of the route's weights.
func (w WeightedService) Weight() int { return w.weight }
