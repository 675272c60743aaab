// Package baobabcaller is the callers' edge: it reads HTTP requests within bounds, hands them on as calls, and
// writes answers and refusals. Nothing is cached or shared between callers.
package baobabcaller
