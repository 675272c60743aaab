package main

import (
	"context"
	"testing"
	"time"
)

// TestDemo guards against a first command of the README that fails: requests sent before the upstreams have announced
// themselves are refused.
func TestDemo(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	for _, deployment := range []string{"booking", "repair"} {
		c := demoCmd{Deployment: deployment}
		if err := c.run(ctx); err != nil {
			t.Errorf("%s: %v", deployment, err)
		}
	}
}
