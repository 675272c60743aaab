// Package baobabclaim keeps at-most-once records of keyed calls in the platform's table service.
//
// A node claims an idempotency key with a conditional write before it hands the call on. The row then holds the
// attempt that may run the call, and later the recorded answer. No lease is involved: a claim ends only when its
// holder releases it, or when the retention time has passed.
package baobabclaim
