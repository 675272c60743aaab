// Package baobabscarcity runs the code that decides about admission, root admission and retries without a network, in
// virtual time. A run is determined by its scenario and its seed.
package baobabscarcity
