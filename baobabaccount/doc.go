// Package baobabaccount identifies the client account of a call by its key, and decides whether a node may still trust its
// keys: only while it holds recent proof that its configuration is the newest one.
package baobabaccount
