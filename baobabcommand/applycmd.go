package baobabcommand

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

type applyCommand struct {
	Path string `arg:"positional,required" help:"JSON file, or folder whose *.json files are read"`
}

// applyResult is the JSON output of apply.
type applyResult struct {
	Results []appliedResource `json:"results"`
}

// appliedResource is the result of apply for one resource.
type appliedResource struct {
	Result   string              `json:"result"` // created, changed or unchanged.
	Kind     baobaboperator.Kind `json:"kind"`
	Name     string              `json:"name"`
	Revision uint64              `json:"revision"`
}

func (c *applyCommand) run(ctx context.Context, a *app) error {
	resources, err := c.readResources(a)
	if err != nil {
		return err
	}
	client, ctx, done, err := a.newClientWithContext(ctx)
	if err != nil {
		return err
	}
	defer done()
	list, err := client.ListResources(ctx, "")
	if err != nil {
		return err
	}
	result, applyErr := applyResources(ctx, client, resources, indexResources(list))
	var text strings.Builder
	for _, r := range result.Results {
		fmt.Fprintf(&text, "%s %s/%s at revision %d\n", r.Result, r.Kind, r.Name, r.Revision)
	}
	if err := a.print(result, text.String()); err != nil {
		return err
	}
	if applyErr != nil {
		return fmt.Errorf("apply: %d of %d resources done: %w", len(result.Results), len(resources), applyErr)
	}
	return nil
}

// applyResources sets the resources that differ from the current ones, in order. It stops at the first error and
// returns the results up to there.
func applyResources(ctx context.Context, client *baobaboperator.Client, resources []baobaboperator.Resource,
	current map[string]baobaboperator.Resource,
) (applyResult, error) {
	result := applyResult{Results: []appliedResource{}}
	for _, r := range resources {
		old := current[resourceKey(r)]
		if old.Revision > 0 && baobaboperator.SameText(old.Text, r.Text) {
			result.Results = append(result.Results, appliedResource{"unchanged", r.Kind, r.Name, old.Revision})
			continue
		}
		stored, err := client.SetResource(ctx, r.Kind, r.Name, r.Text, old.Revision)
		if err != nil {
			return result, err
		}
		action := "changed"
		if old.Revision == 0 {
			action = "created"
		}
		result.Results = append(result.Results, appliedResource{action, r.Kind, r.Name, stored.Revision})
	}
	return result, nil
}

func indexResources(list []baobaboperator.Resource) map[string]baobaboperator.Resource {
	index := map[string]baobaboperator.Resource{}
	for _, r := range list {
		index[resourceKey(r)] = r
	}
	return index
}

func resourceKey(r baobaboperator.Resource) string { return string(r.Kind) + "/" + r.Name }

// readResources returns the resources of all files in dependency order, so that a resource is set before the resources
// that refer to it.
func (c *applyCommand) readResources(a *app) ([]baobaboperator.Resource, error) {
	files, err := c.resourceFiles()
	if err != nil {
		return nil, err
	}
	var resources []baobaboperator.Resource
	fileOf := map[string]string{}
	for _, file := range files {
		list, err := readApplyFile(a, file)
		if err != nil {
			return nil, err
		}
		for _, r := range list {
			key := resourceKey(r)
			if first, ok := fileOf[key]; ok {
				return nil, usagef("%s: %s is also in %s", file, key, first)
			}
			fileOf[key] = file
			resources = append(resources, r)
		}
	}
	slices.SortFunc(resources, func(a, b baobaboperator.Resource) int {
		kinds := baobaboperator.Kinds()
		return cmp.Or(cmp.Compare(slices.Index(kinds, a.Kind), slices.Index(kinds, b.Kind)), cmp.Compare(a.Name, b.Name))
	})
	return resources, nil
}

// resourceFiles returns the file, or the *.json files of the folder, that the path names.
func (c *applyCommand) resourceFiles() ([]string, error) {
	info, err := os.Stat(c.Path)
	if err != nil {
		return nil, usagef("apply: %v", err)
	}
	if !info.IsDir() {
		return []string{c.Path}, nil
	}
	files, err := filepath.Glob(filepath.Join(c.Path, "*.json"))
	if err != nil || len(files) == 0 {
		return nil, usagef("apply: %s has no *.json file", c.Path)
	}
	return files, nil
}

// readApplyFile reads a list of resources and checks that each has a known kind, a name and a text.
func readApplyFile(a *app, file string) ([]baobaboperator.Resource, error) {
	data, err := a.readFile(file)
	if err != nil {
		return nil, usagef("apply: %v", err)
	}
	var list resourceList
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&list); err != nil {
		return nil, usagef("%s: %v", file, err)
	}
	for i, r := range list.Resources {
		if !r.Kind.Valid() {
			return nil, usagef("%s: resource %d has the unknown kind %q", file, i+1, r.Kind)
		}
		if r.Name == "" || len(r.Text) == 0 {
			return nil, usagef("%s: resource %d has no name or no text", file, i+1)
		}
	}
	return list.Resources, nil
}
