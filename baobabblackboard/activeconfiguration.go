package baobabblackboard

import (
	"time"

	account "github.com/baobabdale/baobabdale/baobabaccount"
	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
)

// An ActiveConfiguration is the configuration in force at this node. It is immutable.
type ActiveConfiguration struct {
	snapshot    *configuration.Snapshot
	view        *configuration.View // Built from the snapshot for this node's labels.
	accounts    *account.Directory
	activeSince time.Time
}

// NewActiveConfiguration returns the configuration that is in force at this node since a time.
func NewActiveConfiguration(s *configuration.Snapshot, v *configuration.View, since time.Time) *ActiveConfiguration {
	return &ActiveConfiguration{snapshot: s, view: v, accounts: account.NewDirectory(v.Accounts(), v.RequiresKeys()), activeSince: since}
}

// Snapshot returns the snapshot of the whole version.
func (c *ActiveConfiguration) Snapshot() *configuration.Snapshot { return c.snapshot }

// View returns the part of the snapshot that the selectors assign to this node.
func (c *ActiveConfiguration) View() *configuration.View { return c.view }

// Accounts returns the client accounts of the view.
func (c *ActiveConfiguration) Accounts() *account.Directory { return c.accounts }

// ActiveSince returns when the version came into force at this node.
func (c *ActiveConfiguration) ActiveSince() time.Time { return c.activeSince }

// Version returns the version of the snapshot.
func (c *ActiveConfiguration) Version() configuration.Version { return c.snapshot.Version() }
