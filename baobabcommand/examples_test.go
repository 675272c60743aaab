package baobabcommand

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"

	operator "github.com/baobabdale/baobabdale/baobaboperator"
)

// exampleResource has the fields of services, policies, routes and selectors that the test checks.
type exampleResource struct {
	Ranks                 []struct{ Name string }
	Methods               []string
	Service, Policy, Rank string
	Policies              []string
	Idempotent            bool
	RequireIdempotencyKey bool `json:"require_idempotency_key"`
}

// TestExamples guards against example files with a dangling reference, and against routes that may run a write twice.
func TestExamples(t *testing.T) {
	for _, file := range []string{"booking.json", "repair.json"} {
		list, err := readApplyFile(&app{readFile: os.ReadFile}, filepath.Join("..", "docs", "examples", file))
		if err != nil {
			t.Fatal(err)
		}
		names := map[string]bool{}
		texts := make([]exampleResource, len(list))
		for i, r := range list {
			if err := json.Unmarshal(r.Text, &texts[i]); err != nil {
				t.Fatal(err)
			}
			names[resourceKey(r)] = true
			for _, k := range texts[i].Ranks {
				names["rank/"+r.Name+"/"+k.Name] = true
			}
		}
		writes := 0
		for i, r := range list {
			x := texts[i]
			for _, p := range x.Policies {
				if !names["policy/"+p] {
					t.Errorf("%s: %s refers to policy %s", file, resourceKey(r), p)
				}
			}
			if r.Kind != operator.KindRoute {
				continue
			}
			if !names["service/"+x.Service] || !names["rank/"+x.Policy+"/"+x.Rank] {
				t.Errorf("%s: %s refers to a missing service, policy or rank", file, resourceKey(r))
			}
			if slices.Contains(x.Methods, "POST") {
				writes++
				if x.Idempotent || !x.RequireIdempotencyKey {
					t.Errorf("%s: %s may run a POST twice", file, resourceKey(r))
				}
			}
		}
		if writes != 2 {
			t.Errorf("%s has %d routes for writes, want 2", file, writes)
		}
	}
}
