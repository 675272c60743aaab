package baobabemulator

// A DemoRequest is a request that the demo sends to a deployment.
type DemoRequest struct {
	Method string
	Target string
	Body   string
	Header map[string]string
}

// DemoRequests returns the requests for a deployment: a lookup, a request with an idempotency key, and a repetition of
// the latter.
func DemoRequests(deployment string) []DemoRequest {
	lookup, order := "/availability/lanes?ground=7", "/deposits/payments"
	if deployment == "repair" {
		lookup, order = "/quotes/awnings?width=3", "/dispatch/orders"
	}
	keyed := DemoRequest{Method: "POST", Target: order, Body: `{"amount": 40}`, Header: map[string]string{
		"Idempotency-Key": "demo-1", "Baobab-Caller": "demo",
	}}
	return []DemoRequest{{Method: "GET", Target: lookup}, keyed, keyed}
}
