package baobaboperator

// AcceptResult is the response body of an accept. It is a wire format.
type AcceptResult struct {
	OperationID string  `json:"operation_id"`
	Version     Version `json:"version"`
}

// acceptRequest is the request body of an accept.
type acceptRequest struct {
	OperationID    string `json:"operation_id"`
	ExpectedDigest string `json:"expected_digest,omitempty"`
}
