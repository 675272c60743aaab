package baobabnode

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	platform "github.com/baobabdale/baobabdale/baobabplatform"
	rollout "github.com/baobabdale/baobabdale/baobabrollout"
)

// rolloutOrderPrefix begins the keys of the rows with the orders that operators give through nodes; the service follows.
const rolloutOrderPrefix = "rollout-order/"

// orderJSON is the stored form of an order.
type orderJSON struct {
	Target     string `json:"target"`
	DurationMs int64  `json:"duration_ms"`
}

// pollOrders reads the orders once at the start, and then regularly if this node is one of those that may decide.
func (c *rolloutController) pollOrders(ctx context.Context) {
	read := false
	for {
		if !read || c.members.headPosition() < headWatchers {
			err := c.readOrders(ctx)
			read = read || err == nil
			if err != nil {
				c.logger.Debug("roll-out orders not read", "err", err)
			}
		}
		if !sleep(ctx, c.orderPollInterval) {
			return
		}
	}
}

func (c *rolloutController) readOrders(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*rolloutStoreTimeout)
	defer cancel()
	rows, err := c.store.store.Scan(ctx, rolloutOrderPrefix)
	if err != nil {
		return errors.Wrap(err, "read roll-out orders")
	}
	for _, r := range rows {
		var j orderJSON
		if err := json.Unmarshal(r.Value(), &j); err != nil {
			c.logger.Warn("malformed roll-out order", "key", r.Key(), "err", err)
			continue
		}
		service := strings.TrimPrefix(r.Key(), rolloutOrderPrefix)
		c.observeOrder(rollout.NewOrder(service, j.Target, time.Duration(j.DurationMs)*time.Millisecond, r.Revision()))
	}
	return nil
}

// writeOrder writes an order. The nodes that may decide read it within the poll interval.
func (c *rolloutController) writeOrder(ctx context.Context, service, target string, duration time.Duration) error {
	data, err := json.Marshal(orderJSON{Target: target, DurationMs: duration.Milliseconds()})
	if err != nil {
		return errors.Wrap(err, "order roll-out")
	}
	_, err = c.store.store.Commit(ctx, platform.NewTransaction().Put(rolloutOrderPrefix+service, data).Build())
	return errors.Wrap(err, "order roll-out")
}
