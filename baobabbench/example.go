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

// exampleResources reads the configuration of an example deployment from docs/examples.
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

// rankTarget returns the latency target of a rank.
func (r resources) rankTarget(policy, rank string) (time.Duration, error) {
	for _, v := range r.policyRanks(policy) {
		if v["name"] == rank {
			text, _ := v["target"].(string)
			d, err := time.ParseDuration(text)
			return d, errors.Wrap(err, "read target")
		}
	}
	return 0, errors.Errorf("read target: rank %s does not exist", rank)
}

// withScaledTargets returns a copy of the resources with all latency targets of a policy multiplied by factor.
func (r resources) withScaledTargets(policy string, factor int) resources {
	return r.withEditedPolicy(policy, func(_, rank map[string]any) {
		text, _ := rank["target"].(string)
		if d, err := time.ParseDuration(text); err == nil {
			rank["target"] = (time.Duration(factor) * d).String()
		}
	})
}

// withoutFloors returns a copy of the resources with the rank floors and the caller floor of a policy set to 0.
func (r resources) withoutFloors(policy string) resources {
	return r.withEditedPolicy(policy, func(policyText, rank map[string]any) {
		policyText["caller_floor_percent"], rank["floor_percent"] = 0, 0
	})
}

// withEditedPolicy returns a copy of the resources in which edit was called for each rank of a policy. The arguments
// of edit are copies of the policy and of the rank.
func (r resources) withEditedPolicy(policy string, edit func(policyText, rank map[string]any)) resources {
	list := slices.Clone(r)
	for i, v := range list {
		if v.Kind != "policy" || v.Name != policy {
			continue
		}
		text := maps.Clone(v.Text)
		var ranks []any
		for _, rank := range r.policyRanks(policy) {
			rank = maps.Clone(rank)
			edit(text, rank)
			ranks = append(ranks, rank)
		}
		text["ranks"] = ranks
		list[i].Text = text
	}
	return list
}
