package baobabcommand

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

// waitInterval is the time between two looks at the status while a version takes effect. Each look asks all
// nodes, so it is not shorter.
const waitInterval = 250 * time.Millisecond

type acceptCommand struct {
	ExpectDigest string        `arg:"--expect-digest" placeholder:"DIGEST" help:"fail with a conflict unless the candidate has this digest, as shown by diff"`
	Operation    string        `arg:"--operation" placeholder:"ID" help:"id of an earlier accept whose outcome is unknown; it is accepted at most once"`
	Wait         time.Duration `arg:"--wait" placeholder:"DURATION" help:"wait until the version is in force everywhere, at most this long"`
}

func (c *acceptCommand) run(ctx context.Context, a *app) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	defer client.Close()
	operation := c.Operation
	if operation == "" {
		operation = baobaboperator.NewOperationID()
	}
	request, cancel := a.request(ctx)
	defer cancel()
	accepted, err := client.Accept(request, operation, c.ExpectDigest)
	if err != nil {
		return err
	}
	if err := a.print(accepted, fmt.Sprintf("accepted version %s\n", accepted.Version)); err != nil {
		return err
	}
	if c.Wait <= 0 {
		return nil
	}
	return c.wait(ctx, a, client, accepted.Version.Number)
}

// wait shows the progress on the error output until the version is in force everywhere. The first look may
// take longer than the wait, so that a short wait reports which nodes are behind.
func (c *acceptCommand) wait(ctx context.Context, a *app, client *baobaboperator.Client, number uint64) error {
	first, cancelFirst := a.request(ctx)
	defer cancelFirst()
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	var last baobaboperator.Status
	var shown string
	for look := first; ; look = ctx {
		status, err := client.Status(look)
		line := fmt.Sprintf("status is not available: %v\n", err)
		if err == nil {
			last = status
			have, want := status.Progress(number)
			line = fmt.Sprintf("version %d is in force at %d of %d nodes\n", number, have, want)
		}
		if line != shown && look.Err() == nil {
			_, _ = fmt.Fprint(a.err, line)
			shown = line
		}
		if err == nil && status.InForce(number) {
			return nil
		}
		if !pause(ctx, waitInterval) {
			return errors.Errorf("version %d was accepted but is not in force everywhere after %s%s", number, c.Wait, formatBehind(last))
		}
	}
}

// formatBehind returns one line for each node that is behind.
func formatBehind(s baobaboperator.Status) string {
	var b strings.Builder
	for _, d := range s.FailureDomains {
		for _, n := range d.Behind {
			fmt.Fprintf(&b, "\n%s in %s%s: %s", n.Node, d.Name, formatVersion(n, ""), n.Reason)
		}
	}
	return b.String()
}

// formatVersion returns the version of a node that is behind, or an empty text when the node did not answer.
func formatVersion(n baobaboperator.BehindNode, since string) string {
	if n.Since == nil {
		return ""
	}
	return fmt.Sprintf(" has version %s%s", n.Version, since)
}

// pause waits for d and reports whether ctx is still valid.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
