package main

// A resource is one entry of an apply file.
type resource struct {
	Kind string         `json:"kind"`
	Name string         `json:"name"`
	Text map[string]any `json:"text"`
}

type resources []resource

// serviceResources returns a configuration with a read route, path /NAME, to each service.
func serviceResources(services []string) resources {
	list := resources{
		{Kind: "policy", Name: "bench", Text: map[string]any{
			"ranks": []map[string]any{
				{"name": "urgent", "priority": 1, "floor_percent": 40, "target": "60ms", "worth": 10},
			},
			"retry_budget_percent": 10, "max_attempts": 3, "queue_limit": 120, "caller_floor_percent": 5,
			"quarantine_after": 2, "quarantine_time": "1m",
		}},
		{Kind: "selector", Name: "every-node", Text: map[string]any{
			"match": map[string]string{}, "routes": []string{"*"}, "policies": []string{"bench"},
		}},
	}
	for _, s := range services {
		list = append(list,
			resource{Kind: "service", Name: s, Text: map[string]any{"labels": map[string]string{}}},
			resource{Kind: "route", Name: s, Text: map[string]any{
				"path_prefix": "/" + s, "methods": []string{"GET"}, "service": s, "policy": "bench", "rank": "urgent",
				"timeout": "2s", "idempotent": true, "require_idempotency_key": false,
			}})
	}
	return list
}
