package baobaboperator

// Accepted is the result of an accept. It is a wire format.
type Accepted struct {
	OperationID string  `json:"operation_id"`
	Version     Version `json:"version"`
}

// acceptRequest is the body of an accept.
type acceptRequest struct {
	OperationID    string `json:"operation_id"`
	ExpectedDigest string `json:"expected_digest,omitempty"`
}
