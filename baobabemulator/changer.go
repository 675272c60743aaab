package baobabemulator

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

// A Changer is a stand-in operator that changes the configuration through some nodes. What fails only for the moment
// it repeats until its context ends.
type Changer struct {
	client *baobaboperator.Client
}

// NewChanger returns a changer that uses the given nodes, or all. The caller must close it.
func (m *Mesh) NewChanger(nodes ...*MeshNode) (*Changer, error) {
	c, err := m.Operator(nodes...)
	return &Changer{client: c}, err
}

// Close closes idle connections.
func (c *Changer) Close() { c.client.Close() }

// SetService creates or replaces a service.
func (c *Changer) SetService(ctx context.Context, name string) error {
	return c.set(ctx, baobaboperator.KindService, name, `{"labels": {}}`)
}

// SetRoute creates or replaces a route for the path prefix that RoutePath returns.
func (c *Changer) SetRoute(ctx context.Context, name, service string) error {
	return c.set(ctx, baobaboperator.KindRoute, name, fmt.Sprintf(`{"path_prefix": %q, "methods": ["GET"], "service": %q,
		"policy": "", "rank": "normal", "timeout": "2s", "idempotent": true, "require_idempotency_key": false}`,
		RoutePath(name), service))
}

// RoutePath returns the path prefix of a route that a Changer creates.
func RoutePath(route string) string { return "/changed/" + route }

// Delete deletes a resource, if it exists.
func (c *Changer) Delete(ctx context.Context, kind baobaboperator.Kind, name string) error {
	return c.retry(ctx, func() error {
		r, err := c.client.GetResource(ctx, kind, name)
		if baobaboperator.ErrorKindOf(err) == baobaboperator.ErrorNotFound {
			return nil
		}
		if err != nil {
			return err
		}
		return c.client.DeleteResource(ctx, kind, name, r.Revision)
	})
}

// Accept accepts the candidate. A rejected candidate is returned as the error.
func (c *Changer) Accept(ctx context.Context) (baobaboperator.Version, error) {
	operation := baobaboperator.NewOperationID()
	var version baobaboperator.Version
	err := c.retry(ctx, func() error {
		a, err := c.client.Accept(ctx, operation, "")
		version = a.Version
		return err
	})
	return version, err
}

// AcceptRoute creates a route and accepts the candidate.
func (c *Changer) AcceptRoute(ctx context.Context, name, service string) (baobaboperator.Version, error) {
	if err := c.SetRoute(ctx, name, service); err != nil {
		return baobaboperator.Version{}, err
	}
	return c.Accept(ctx)
}

func (c *Changer) set(ctx context.Context, kind baobaboperator.Kind, name, text string) error {
	return c.retry(ctx, func() error {
		r, err := c.client.GetResource(ctx, kind, name)
		if err != nil && baobaboperator.ErrorKindOf(err) != baobaboperator.ErrorNotFound {
			return err
		}
		_, err = c.client.SetResource(ctx, kind, name, []byte(text), r.Revision)
		return err
	})
}

// retry repeats an operation while it fails for a reason that passes.
func (c *Changer) retry(ctx context.Context, run func() error) error {
	for {
		err := run()
		switch baobaboperator.ErrorKindOf(err) {
		case baobaboperator.ErrorConflict, baobaboperator.ErrorUnavailable, baobaboperator.ErrorUnknownOutcome:
		default:
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollPause):
		}
	}
}
