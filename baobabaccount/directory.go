package baobabaccount

import (
	call "github.com/baobabdale/baobabdale/baobabcall"
	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
)

// A Directory finds client accounts by their keys. It is immutable.
type Directory struct {
	required bool                    // Calls need keys; always if there is an account.
	accounts []configuration.Account // Sorted by name.
	byKey    map[configuration.KeyDigest]*configuration.Account
}

// NewDirectory returns a directory of accounts, which are sorted by name. Keys are required if there is an account or if
// required is set.
func NewDirectory(accounts []configuration.Account, required bool) *Directory {
	d := &Directory{accounts: accounts, required: required || len(accounts) > 0,
		byKey: make(map[configuration.KeyDigest]*configuration.Account, len(accounts))}
	for i := range accounts {
		for _, k := range accounts[i].KeyDigests() {
			d.byKey[k] = &accounts[i]
		}
	}
	return d
}

// RequiresKeys reports whether calls need the key of an account. Otherwise keys have no meaning. A directory without
// accounts may require keys; then every key is unknown.
func (d *Directory) RequiresKeys() bool { return d.required }

// Empty reports whether there is no account.
func (d *Directory) Empty() bool { return len(d.accounts) == 0 }

// Accounts returns the accounts, sorted by name; they must not be modified.
func (d *Directory) Accounts() []configuration.Account { return d.accounts }

// Find returns the account with the key, or nil if no account has it or the credential is not a well-formed key.
func (d *Directory) Find(c call.Credential) *configuration.Account {
	digest, ok := c.Digest()
	if !ok {
		return nil
	}
	return d.byKey[digest]
}
