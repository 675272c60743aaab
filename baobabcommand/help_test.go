package baobabcommand

import (
	"reflect"
	"strings"
	"testing"
)

// TestHelp guards against options, arguments and commands without a help text, and against commands that can neither be
// run nor have subcommands.
func TestHelp(t *testing.T) {
	checkHelp(t, "baobabdale", reflect.TypeFor[arguments]())
}

// checkHelp checks the fields of a command or a group of commands, including all subcommands.
func checkHelp(t *testing.T, path string, group reflect.Type) {
	commands := 0
	for _, f := range reflect.VisibleFields(group) {
		if f.Anonymous {
			continue
		}
		if f.Tag.Get("help") == "" {
			t.Errorf("%s: %s has no help text", path, f.Name)
		}
		name, ok := strings.CutPrefix(f.Tag.Get("arg"), "subcommand:")
		if !ok {
			continue
		}
		commands++
		checkHelp(t, path+" "+name, f.Type.Elem())
	}
	if _, ok := reflect.New(group).Interface().(command); !ok && commands == 0 {
		t.Errorf("%s can neither be run nor has commands", path)
	}
}
