package baobabcommand

import (
	"context"
	"fmt"

	"github.com/baobabdale/baobabdale/baobabsettings"
)

// settingsCommand has the subcommands for settings.
type settingsCommand struct {
	Check *settingsCheckCommand `arg:"subcommand:check" help:"check a settings file and the files that it names"`
}

type settingsCheckCommand struct {
	File string `arg:"positional,required" help:"settings file of a node"`
}

func (c *settingsCheckCommand) run(_ context.Context, a *app) error {
	s, err := baobabsettings.Load(c.File)
	if err != nil {
		return err
	}
	n := s.Node()
	result := map[string]string{"result": "valid", "file": c.File, "node": n.ID()}
	return a.print(result, fmt.Sprintf("%s is valid: node %s in failure domain %s\n", c.File, n.ID(), n.FailureDomain()))
}
