// Package baobabdependency learns which services the upstream on a VM calls while it runs a call, and limits the calls that
// start while those services lack room.
package baobabdependency
