package baobabcommand

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

// accountGroup has the subcommands for client accounts.
type accountGroup struct {
	Delete *accountDeleteCommand `arg:"subcommand:delete" help:"delete an account with all its keys"`
	List   *accountListCommand   `arg:"subcommand:list" help:"list all accounts"`
	Set    *accountSetCommand    `arg:"subcommand:set" help:"create or change an account"`
	Show   *accountShowCommand   `arg:"subcommand:show" help:"show an account"`
}

type accountDeleteCommand struct{ deleteOptions }

func (c *accountDeleteCommand) run(ctx context.Context, a *app) error {
	return c.deleteResource(ctx, a, baobaboperator.KindAccount)
}

type accountListCommand struct{}

func (*accountListCommand) run(ctx context.Context, a *app) error {
	return a.listResources(ctx, baobaboperator.KindAccount)
}

type accountShowCommand struct{ showOptions }

func (c *accountShowCommand) run(ctx context.Context, a *app) error {
	return c.showResource(ctx, a, baobaboperator.KindAccount)
}

type accountSetCommand struct {
	Name        string   `arg:"positional,required" help:"name of the account"`
	KeyFiles    []string `arg:"--add-key-file,separate" placeholder:"FILE" help:"file with a key to add; only its digest leaves this machine; repeat it for more"`
	AddedKeys   []string `arg:"--add-key-digest,separate" placeholder:"SHA256" help:"digest of a key to add; repeat it for more"`
	RemovedKeys []string `arg:"--remove-key-digest,separate" placeholder:"SHA256" help:"digest of a key to withdraw; repeat it for more"`
	Priority    *int     `arg:"--priority" placeholder:"N" help:"priority; 0 is the most urgent"`
	Rate        *float64 `arg:"--rate" placeholder:"N" help:"requests per second over all nodes; 0 for no limit"`
	Burst       *float64 `arg:"--burst" placeholder:"N" help:"requests beyond the rate"`
	Weight      *int     `arg:"--weight" placeholder:"N" help:"weight relative to other accounts"`
	File        string   `arg:"--file" placeholder:"FILE" help:"JSON text that replaces the account before the other options are set"`
	editOptions
}

func (c *accountSetCommand) run(ctx context.Context, a *app) error {
	added := slices.Clone(c.AddedKeys)
	for _, name := range c.KeyFiles {
		key, err := a.readFile(name)
		if err != nil {
			return usagef("read key: %v", err)
		}
		key = bytes.TrimSpace(key)
		if len(key) == 0 {
			return usagef("%s is empty", name)
		}
		digest := sha256.Sum256(key)
		added = append(added, hex.EncodeToString(digest[:]))
	}
	return resourceEdit{
		kind: baobaboperator.KindAccount, name: c.Name, expect: c.Expect, file: c.File,
		modify: func(f fields) error {
			if err := c.changeKeys(f, added); err != nil {
				return err
			}
			setField(f, "priority", c.Priority)
			setField(f, "rate", c.Rate)
			setField(f, "burst", c.Burst)
			setField(f, "weight", c.Weight)
			return nil
		},
	}.run(ctx, a)
}

// changeKeys removes and adds digests of keys. Removing a digest that the account does not have is an error, because its
// key may belong to another account and would stay valid.
func (c *accountSetCommand) changeKeys(f fields, added []string) error {
	if len(added) == 0 && len(c.RemovedKeys) == 0 {
		return nil
	}
	digests, _ := f["key_digests"].([]any)
	for _, d := range c.RemovedKeys {
		i := slices.Index(digests, any(strings.ToLower(d)))
		if i < 0 {
			return usagef("account %s has no key with the digest %s", c.Name, d)
		}
		digests = slices.Delete(digests, i, i+1)
	}
	for _, d := range added {
		if !slices.Contains(digests, any(strings.ToLower(d))) {
			digests = append(digests, strings.ToLower(d))
		}
	}
	f["key_digests"] = digests
	return nil
}
