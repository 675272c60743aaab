package baobabaccount

import (
	call "github.com/baobabdale/baobabdale/baobabcall"
	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
)

// A Directory finds client accounts by their keys. It is immutable.
type Directory struct {
	accounts []configuration.Account // Sorted by name.
	byKey    map[configuration.KeyDigest]*configuration.Account
}

// NewDirectory returns a directory of accounts, which are sorted by name.
func NewDirectory(accounts []configuration.Account) *Directory {
	d := &Directory{accounts: accounts, byKey: make(map[configuration.KeyDigest]*configuration.Account, len(accounts))}
	for i := range accounts {
		for _, k := range accounts[i].KeyDigests() {
			d.byKey[k] = &accounts[i]
		}
	}
	return d
}

// Empty reports whether there is no account, so that keys have no meaning.
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
