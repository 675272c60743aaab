package baobabconfiguration

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// parseResourceLines parses resources, one a line, in the form "kind name json".
func parseResourceLines(text string) ([]Resource, error) {
	var resources []Resource
	for line := range strings.Lines(text) {
		parts := strings.SplitN(strings.TrimSpace(line), " ", 3)
		if len(parts) != 3 {
			return nil, fmt.Errorf("line %q, want kind, name and JSON", line)
		}
		r, err := ParseResource(Kind(parts[0]), parts[1], []byte(parts[2]))
		if err != nil {
			return nil, err
		}
		resources = append(resources, r)
	}
	return resources, nil
}

func labelsFromArgs(d *datadriven.TestData) Labels {
	values := map[string]string{}
	for _, a := range d.CmdArgs {
		if len(a.Vals) == 1 {
			values[a.Key] = a.Vals[0]
		}
	}
	return NewLabels(values)
}

// TestConfiguration runs the files in testdata. They guard against lenient parsing, invalid documents that pass
// validation, views that contain too much or too little, and requests that match the wrong route.
func TestConfiguration(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if strings.Contains(path, "fuzz") {
			return
		}
		document := EmptyDocument()
		var view *View
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "parse":
				return runParse(d.Input)
			case "document":
				resources, err := parseResourceLines(d.Input)
				if err != nil {
					return err.Error()
				}
				next, err := NewDocument(resources)
				if err != nil {
					return err.Error()
				}
				changes := Diff(document, next)
				document = next
				if d.HasArg("diff") {
					return joinLines(changes)
				}
				return joinLines(Validate(document))
			case "view":
				var err error
				view, err = NewView(NewSnapshot(1, document), labelsFromArgs(d))
				if err != nil {
					return err.Error()
				}
				return describeView(view)
			case "match":
				return runMatch(view, d.Input)
			default:
				t.Fatalf("unknown command %s", d.Cmd)
				return ""
			}
		})
	})
}

func joinLines[T fmt.Stringer](list []T) string {
	var b strings.Builder
	for _, s := range list {
		fmt.Fprintln(&b, s)
	}
	if b.Len() == 0 {
		return "none"
	}
	return b.String()
}

func runParse(input string) string {
	var b strings.Builder
	for line := range strings.Lines(input) {
		resources, err := parseResourceLines(line)
		if err != nil {
			fmt.Fprintln(&b, err)
			continue
		}
		fmt.Fprintf(&b, "%s\n", resources[0].Text())
	}
	return b.String()
}

func describeView(v *View) string {
	var b strings.Builder
	for _, r := range v.Routes() {
		fmt.Fprintln(&b, "route", r.Name())
	}
	for _, p := range v.Policies() {
		fmt.Fprintln(&b, "policy", p.Name())
	}
	for _, s := range v.Services() {
		fmt.Fprintln(&b, "service", s.Name())
	}
	for _, a := range v.Accounts() {
		fmt.Fprintln(&b, "account", a.Name())
	}
	if b.Len() == 0 {
		return "none"
	}
	return b.String()
}

// runMatch matches requests, one a line, in the form "method url". The URL consists of a host, which may be empty, and a
// path.
func runMatch(v *View, input string) string {
	var b strings.Builder
	for line := range strings.Lines(input) {
		method, url, _ := strings.Cut(strings.TrimSpace(line), " ")
		host, path, _ := strings.Cut(url, "/")
		r, p, ok := v.Match(host, method, "/"+path)
		if !ok {
			fmt.Fprintln(&b, "no route")
			continue
		}
		fmt.Fprintf(&b, "%s, policy %s, idempotent %v\n", r.Name(), p.Name(), r.Idempotent(method))
	}
	return b.String()
}
