package baobabemulator

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

// A ConfigurationEditor changes the configuration through some nodes, as an operator does. It retries operations that
// fail for a transient reason until their context ends.
type ConfigurationEditor struct {
	client *baobaboperator.Client
}

// NewConfigurationEditor returns an editor that uses the given nodes, or all nodes without arguments. The caller must
// close it.
func (m *Mesh) NewConfigurationEditor(nodes ...*MeshNode) (*ConfigurationEditor, error) {
	c, err := m.Operator(nodes...)
	return &ConfigurationEditor{client: c}, err
}

// Close closes idle connections.
func (c *ConfigurationEditor) Close() { c.client.Close() }

// SetService creates or replaces a service.
func (c *ConfigurationEditor) SetService(ctx context.Context, name string) error {
	return c.setResource(ctx, baobaboperator.KindService, name, `{"labels": {}}`)
}

// SetRoute creates or replaces a route for the path prefix that RoutePathPrefix returns.
func (c *ConfigurationEditor) SetRoute(ctx context.Context, name, service string) error {
	return c.setResource(ctx, baobaboperator.KindRoute, name, fmt.Sprintf(
		`{"path_prefix": %q, "methods": ["GET"], "service": %q,
		"policy": "", "rank": "normal", "timeout": "2s", "idempotent": true, "require_idempotency_key": false}`,
		RoutePathPrefix(name), service))
}

// SetAccount creates or replaces an account with keys.
func (c *ConfigurationEditor) SetAccount(ctx context.Context, name string, keys ...string) error {
	digests := make([]string, len(keys))
	for i, k := range keys {
		digests[i] = fmt.Sprintf("%x", sha256.Sum256([]byte(k)))
	}
	text, err := json.Marshal(map[string]any{"key_digests": digests})
	if err != nil {
		return err
	}
	return c.setResource(ctx, baobaboperator.KindAccount, name, string(text))
}

// RoutePathPrefix returns the path prefix of a route that a ConfigurationEditor creates.
func RoutePathPrefix(route string) string { return "/changed/" + route }

// Delete deletes a resource, if it exists.
func (c *ConfigurationEditor) Delete(ctx context.Context, kind baobaboperator.Kind, name string) error {
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

// Accept accepts the candidate. The rejection of a candidate is returned as the error.
func (c *ConfigurationEditor) Accept(ctx context.Context) (baobaboperator.Version, error) {
	operationID := baobaboperator.NewOperationID()
	var version baobaboperator.Version
	err := c.retry(ctx, func() error {
		a, err := c.client.Accept(ctx, operationID, "")
		version = a.Version
		return err
	})
	return version, err
}

// AcceptRoute creates a route and accepts the candidate.
func (c *ConfigurationEditor) AcceptRoute(ctx context.Context, name, service string) (baobaboperator.Version, error) {
	if err := c.SetRoute(ctx, name, service); err != nil {
		return baobaboperator.Version{}, err
	}
	return c.Accept(ctx)
}

func (c *ConfigurationEditor) setResource(ctx context.Context, kind baobaboperator.Kind, name, text string) error {
	return c.retry(ctx, func() error {
		r, err := c.client.GetResource(ctx, kind, name)
		if err != nil && baobaboperator.ErrorKindOf(err) != baobaboperator.ErrorNotFound {
			return err
		}
		_, err = c.client.SetResource(ctx, kind, name, []byte(text), r.Revision)
		return err
	})
}

// retry repeats an operation while it fails for a transient reason.
func (c *ConfigurationEditor) retry(ctx context.Context, attempt func() error) error {
	for {
		err := attempt()
		switch baobaboperator.ErrorKindOf(err) {
		case baobaboperator.ErrorConflict, baobaboperator.ErrorUnavailable, baobaboperator.ErrorUnknownOutcome:
		default:
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}
