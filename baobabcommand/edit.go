package baobabcommand

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

// editOptions are the options of all commands that set a resource.
type editOptions struct {
	Expect *uint64 `arg:"--expect" placeholder:"REVISION" help:"fail with a conflict unless the resource has this revision; 0 means that it must not exist"`
}

// A resourceEdit reads a resource, modifies its fields and writes it back unless it was changed concurrently.
type resourceEdit struct {
	kind      baobaboperator.Kind
	name      string
	expect    *uint64
	file      string // If not empty, its text replaces the current one before modify is called.
	mustExist bool
	modify    func(fields) error
}

// editResult is the JSON output of an edit.
type editResult struct {
	Result   string                  `json:"result"` // created, changed or unchanged.
	Resource baobaboperator.Resource `json:"resource"`
}

func (e resourceEdit) run(ctx context.Context, a *app) error {
	client, ctx, done, err := a.newClientWithContext(ctx)
	if err != nil {
		return err
	}
	defer done()
	current, err := client.GetResource(ctx, e.kind, e.name)
	absent := baobaboperator.ErrorKindOf(err) == baobaboperator.ErrorNotFound
	if err != nil && (!absent || e.mustExist) {
		return err
	}
	if err := checkRevision(e.kind, e.name, e.expect, current); err != nil {
		return err
	}
	text, err := e.newText(a, current)
	if err != nil {
		return err
	}
	if current.Revision > 0 && baobaboperator.SameText(current.Text, text) {
		return a.printEditResult("unchanged", current)
	}
	stored, err := client.SetResource(ctx, e.kind, e.name, text, current.Revision)
	if err != nil {
		return err
	}
	if current.Revision == 0 {
		return a.printEditResult("created", stored)
	}
	return a.printEditResult("changed", stored)
}

// newText returns the modified text of the resource.
func (e resourceEdit) newText(a *app, current baobaboperator.Resource) ([]byte, error) {
	base := []byte(current.Text)
	if current.Revision == 0 {
		base = []byte("{}")
	}
	if e.file != "" {
		data, err := a.readFile(e.file)
		if err != nil {
			return nil, usagef("read resource: %v", err)
		}
		base = data
	}
	f, err := decodeFields(base)
	if err != nil {
		return nil, usagef("%s/%s: %v", e.kind, e.name, err)
	}
	if err := e.modify(f); err != nil {
		return nil, err
	}
	return f.encode()
}

// checkRevision returns a conflict if the expected revision is given and is not the current one.
func checkRevision(kind baobaboperator.Kind, name string, expect *uint64, current baobaboperator.Resource) error {
	if expect == nil || *expect == current.Revision {
		return nil
	}
	text := fmt.Sprintf("%s/%s does not have revision %d", kind, name, *expect)
	return baobaboperator.NewError("compare revision", baobaboperator.ErrorConflict, text,
		baobaboperator.WithCurrent(current))
}

func (a *app) printEditResult(result string, r baobaboperator.Resource) error {
	text := fmt.Sprintf("%s %s/%s at revision %d\n", result, r.Kind, r.Name, r.Revision)
	return a.print(editResult{Result: result, Resource: r}, text)
}

// deleteOptions are the arguments of all commands that delete a resource.
type deleteOptions struct {
	Name   string  `arg:"positional,required" help:"name of the resource"`
	Expect *uint64 `arg:"--expect" placeholder:"REVISION" help:"fail with a conflict unless the resource has this revision"`
}

// deleteResource deletes a resource unless it was changed concurrently.
func (o deleteOptions) deleteResource(ctx context.Context, a *app, kind baobaboperator.Kind) error {
	client, ctx, done, err := a.newClientWithContext(ctx)
	if err != nil {
		return err
	}
	defer done()
	current, err := client.GetResource(ctx, kind, o.Name)
	if err != nil {
		return err
	}
	if err := checkRevision(kind, o.Name, o.Expect, current); err != nil {
		return err
	}
	if err := client.DeleteResource(ctx, kind, o.Name, current.Revision); err != nil {
		return err
	}
	text := fmt.Sprintf("deleted %s/%s, which was at revision %d\n", kind, o.Name, current.Revision)
	return a.print(editResult{Result: "deleted", Resource: current}, text)
}

// resourceList is the JSON output of the list commands and the input format of apply.
type resourceList struct {
	Resources []baobaboperator.Resource `json:"resources"`
}

// listResources prints all resources of a kind.
func (a *app) listResources(ctx context.Context, kind baobaboperator.Kind) error {
	client, ctx, done, err := a.newClientWithContext(ctx)
	if err != nil {
		return err
	}
	defer done()
	list, err := client.ListResources(ctx, kind)
	if err != nil {
		return err
	}
	rows := [][]string{{"NAME", "REVISION", "TEXT"}}
	for _, r := range list {
		rows = append(rows, []string{r.Name, fmt.Sprint(r.Revision), compactJSON(r.Text)})
	}
	return a.print(resourceList{list}, formatTable(rows))
}

// showOptions are the arguments of all commands that show a resource.
type showOptions struct {
	Name string `arg:"positional,required" help:"name of the resource"`
}

// showResource prints a resource.
func (o showOptions) showResource(ctx context.Context, a *app, kind baobaboperator.Kind) error {
	client, ctx, done, err := a.newClientWithContext(ctx)
	if err != nil {
		return err
	}
	defer done()
	r, err := client.GetResource(ctx, kind, o.Name)
	if err != nil {
		return err
	}
	var text []byte
	if text, err = json.MarshalIndent(r.Text, "", "  "); err != nil {
		return err
	}
	return a.print(r, fmt.Sprintf("%s/%s at revision %d\n%s\n", r.Kind, r.Name, r.Revision, text))
}
