// Package baobabcaller is the HTTP server for callers. It reads requests within limits on size, time and memory, passes
// them on as calls, and writes answers and refusals. Nothing is cached or shared between callers.
package baobabcaller
