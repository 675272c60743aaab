// Package baobabclaim gives calls with an idempotency key at-most-once execution, by records in the platform's table
// service.
//
// A node claims the key with a conditional write before it forwards the call. The row then holds the fencing token of
// the claim that may run the call, and later the recorded response. Claims are not leases: a claim ends only when its
// holder releases it, or when the retention time has passed.
package baobabclaim
