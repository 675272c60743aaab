package baobabcommand

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

// statusPollInterval is the time between two status requests while a version takes effect. It is not shorter because
// each request queries all nodes.
const statusPollInterval = 250 * time.Millisecond

type acceptCommand struct {
	ExpectDigest string        `arg:"--expect-digest" placeholder:"DIGEST" help:"fail with a conflict unless the candidate has this digest, as shown by diff"`
	Operation    string        `arg:"--operation" placeholder:"ID" help:"id of an earlier accept whose outcome is unknown; it is accepted at most once"`
	Wait         time.Duration `arg:"--wait" placeholder:"DURATION" help:"wait until the version is in force everywhere, at most this long"`
}

func (c *acceptCommand) run(ctx context.Context, a *app) error {
	client, err := a.newClient()
	if err != nil {
		return err
	}
	defer client.Close()
	operationID := c.Operation
	if operationID == "" {
		operationID = baobaboperator.NewOperationID()
	}
	requestCtx, cancel := a.requestContext(ctx)
	defer cancel()
	result, err := client.Accept(requestCtx, operationID, c.ExpectDigest)
	if err != nil {
		return err
	}
	if err := a.print(result, fmt.Sprintf("accepted version %s\n", result.Version)); err != nil {
		return err
	}
	if c.Wait <= 0 {
		return nil
	}
	return c.waitInForce(ctx, a, client, result.Version.Number)
}

// waitInForce prints the progress to the error output until the version is in force everywhere. The first status
// request may take longer than the wait, so that a short wait still reports which nodes are behind.
func (c *acceptCommand) waitInForce(ctx context.Context, a *app, client *baobaboperator.Client, number uint64) error {
	firstCtx, cancelFirst := a.requestContext(ctx)
	defer cancelFirst()
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	var lastStatus baobaboperator.Status
	var lastLine string
	for requestCtx := firstCtx; ; requestCtx = ctx {
		status, err := client.Status(requestCtx)
		line := fmt.Sprintf("status is not available: %v\n", err)
		if err == nil {
			lastStatus = status
			updated, total := status.Progress(number)
			line = fmt.Sprintf("version %d is in force at %d of %d nodes\n", number, updated, total)
		}
		if line != lastLine && requestCtx.Err() == nil {
			_, _ = fmt.Fprint(a.err, line)
			lastLine = line
		}
		if err == nil && status.InForceEverywhere(number) {
			return nil
		}
		if !sleepContext(ctx, statusPollInterval) {
			return errors.Errorf("version %d was accepted but is not in force everywhere after %s%s",
				number, c.Wait, formatBehind(lastStatus))
		}
	}
}

// formatBehind returns one line for each node that is behind.
func formatBehind(s baobaboperator.Status) string {
	var b strings.Builder
	for _, d := range s.FailureDomains {
		for _, n := range d.Behind {
			fmt.Fprintf(&b, "\n%s in %s%s: %s", n.Node, d.Name, formatBehindVersion(n, ""), n.Reason)
		}
	}
	return b.String()
}

// formatBehindVersion returns the version of a node that is behind, or an empty string if the node did not respond.
func formatBehindVersion(n baobaboperator.BehindNode, since string) string {
	if n.Since == nil {
		return ""
	}
	return fmt.Sprintf(" has version %s%s", n.Version, since)
}

// sleepContext waits for d and reports whether it did so before ctx ended.
func sleepContext(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
