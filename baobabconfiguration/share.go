package baobabconfiguration

// A Share is the part of a route's calls that a service gets.
type Share struct {
	service string
	weight  int // Relative to the sum of the route's weights; 0 or more.
}

type shareJSON struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service returns the name of the service.
func (s Share) Service() string { return s.service }

// Weight returns the weight relative to the sum of the route's weights.
func (s Share) Weight() int { return s.weight }
