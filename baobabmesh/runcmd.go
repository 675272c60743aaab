package main

import (
	"context"
	"fmt"
)

// runCmd starts a mesh and stops it when interrupted.
type runCmd struct {
	Deployment string `arg:"--deployment" default:"booking" help:"booking or repair"`
}

func (c *runCmd) run(ctx context.Context) error {
	m, cleanUp, err := startMesh(ctx, c.Deployment)
	if err != nil {
		return err
	}
	defer cleanUp()
	for _, n := range m.Nodes() {
		fmt.Printf("%-18s %s  callers %s  operators %s\n", n.ID(), n.FailureDomain(), n.EntryURL(), n.OperatorAddress())
	}
	fmt.Printf("operator token: %s\n", m.TokenFile())
	<-ctx.Done()
	return nil
}
