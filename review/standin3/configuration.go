package main

// configuration is the operator's configuration in its encoded form.
type configuration struct {
	Version   string     `json:"version"`
	Limits    limits     `json:"limits"`
	Tenants   []tenant   `json:"tenants,omitzero"` // Nil: the configuration has no such field.
	Listeners []listener `json:"listeners"`
	Clusters  []cluster  `json:"clusters"`
}

type limits struct {
	MaxHeaderBytes int     `json:"max_header_bytes"`
	MaxBodyBytes   int     `json:"max_body_bytes"`
	HeaderTimeout  float64 `json:"header_timeout_s"`
	IdleTimeout    float64 `json:"idle_timeout_s"`
}

type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
	Rate     float64  `json:"rate_per_s"`
	Burst    float64  `json:"burst"`
}

type listener struct {
	Host  string `json:"host"`
	Rules []rule `json:"rules"`
}

type rule struct {
	Name           string  `json:"name"`
	Kind           string  `json:"kind"`
	TargetLatency  float64 `json:"target_latency_s"`
	Priority       int     `json:"priority"`
	AllowAnonymous bool    `json:"allow_anonymous"`
	Match          match   `json:"match"`
	Action         action  `json:"action"`
}

type match struct {
	Prefix string `json:"prefix"`
}

type action struct {
	Service     string  `json:"service"`
	Timeout     float64 `json:"timeout_s"`
	MaxAttempts int     `json:"max_attempts"`
}

type cluster struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path"`
	MaxConnections int    `json:"max_connections"`
}

// newConfiguration returns a configuration without routes.
func newConfiguration() configuration {
	return configuration{
		Version: "00000007",
		Limits:  limits{MaxHeaderBytes: 16384, MaxBodyBytes: 64 << 20, HeaderTimeout: 3, IdleTimeout: 15},
	}
}

// addRoute adds a route and the service that it leads to.
func (c *configuration) addRoute(host, prefix, kind, service string, timeout float64) {
	c.Listeners = append(c.Listeners, listener{Host: host, Rules: []rule{{
		Name: "r" + prefix[1:len(prefix)-1], Kind: kind, TargetLatency: 0.5, Match: match{Prefix: prefix},
		Action: action{Service: service, Timeout: timeout, MaxAttempts: 2},
	}}})
	for _, v := range c.Clusters {
		if v.Name == service {
			return
		}
	}
	c.Clusters = append(c.Clusters, cluster{Name: service, HealthPath: healthPath, MaxConnections: 430})
}
