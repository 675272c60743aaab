package main

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// exampleResources reads the configuration of an example deployment.
func exampleResources(b baobabemulator.Binaries, deployment string) (resources, error) {
	data, err := os.ReadFile(filepath.Join(b.Module(), "docs", "examples", deployment+".json"))
	if err != nil {
		return nil, errors.Wrap(err, "read example")
	}
	var file struct {
		Resources resources `json:"resources"`
	}
	return file.Resources, errors.Wrap(json.Unmarshal(data, &file), "read example")
}

// policyRanks returns the ranks of the policy with the given name.
func (r resources) policyRanks(policy string) []map[string]any {
	for _, v := range r {
		if v.Kind != "policy" || v.Name != policy {
			continue
		}
		list, _ := v.Text["ranks"].([]any)
		var ranks []map[string]any
		for _, rank := range list {
			if m, ok := rank.(map[string]any); ok {
				ranks = append(ranks, m)
			}
		}
		return ranks
	}
	return nil
}

// target returns the latency that a rank promises.
func (r resources) target(policy, rank string) (time.Duration, error) {
	for _, v := range r.policyRanks(policy) {
		if v["name"] == rank {
			text, _ := v["target"].(string)
			d, err := time.ParseDuration(text)
			return d, errors.Wrap(err, "read target")
		}
	}
	return 0, errors.Errorf("read target: rank %s does not exist", rank)
}

// stretched returns the resources with the targets of the policy multiplied.
func (r resources) stretched(policy string, factor int) resources {
	return r.withPolicy(policy, func(_, rank map[string]any) {
		text, _ := rank["target"].(string)
		if d, err := time.ParseDuration(text); err == nil {
			rank["target"] = (time.Duration(factor) * d).String()
		}
	})
}

// withoutFloors returns the resources with a policy without floors for ranks and callers.
func (r resources) withoutFloors(policy string) resources {
	return r.withPolicy(policy, func(text, rank map[string]any) {
		text["caller_floor_percent"], rank["floor_percent"] = 0, 0
	})
}

// withPolicy returns the resources with a copy of the policy, changed for each of its ranks.
func (r resources) withPolicy(policy string, change func(text, rank map[string]any)) resources {
	list := slices.Clone(r)
	for i, v := range list {
		if v.Kind != "policy" || v.Name != policy {
			continue
		}
		text := maps.Clone(v.Text)
		var ranks []any
		for _, rank := range r.policyRanks(policy) {
			rank = maps.Clone(rank)
			change(text, rank)
			ranks = append(ranks, rank)
		}
		text["ranks"] = ranks
		list[i].Text = text
	}
	return list
}
