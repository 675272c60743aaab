package baobabrollout

import "time"

// An Order asks that the requests of a service move to a version. It is immutable.
type Order struct {
	service  string
	target   string
	duration time.Duration
	revision uint64 // Of the row; a later order has a higher one.
}

// NewOrder returns the order in the row with the given revision.
func NewOrder(service, target string, duration time.Duration, revision uint64) Order {
	return Order{service: service, target: target, duration: duration, revision: revision}
}

// Service returns the service.
func (o Order) Service() string { return o.service }

// Target returns the version that requests move to.
func (o Order) Target() string { return o.target }

// Duration returns the time from the order to its deadline.
func (o Order) Duration() time.Duration { return o.duration }

// Revision returns the revision of the row, or 0 without an order.
func (o Order) Revision() uint64 { return o.revision }

// Problem returns why an order for a service that has the given baseline is rejected, or an empty string.
func (o Order) Problem(baseline string, known bool) string {
	switch {
	case !known:
		return "the service has no upstream"
	case o.target == "":
		return "the target is empty"
	case o.duration <= 0:
		return "the duration is not positive"
	case o.target == baseline:
		return "the target is the version in use"
	default:
		return ""
	}
}
