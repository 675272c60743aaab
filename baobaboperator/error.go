package baobaboperator

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of errors.
const (
	// ErrorConflict means that the resource or the candidate was changed concurrently; the request was not applied.
	ErrorConflict ErrorKind = "conflict"
	// ErrorInternal means an internal error of the node.
	ErrorInternal ErrorKind = "internal"
	// ErrorInvalid means that the request itself is invalid.
	ErrorInvalid ErrorKind = "invalid"
	// ErrorNotFound means that the resource does not exist.
	ErrorNotFound ErrorKind = "not_found"
	// ErrorTooLarge means that the request body is too large.
	ErrorTooLarge ErrorKind = "over_size"
	// ErrorRejected means that a resource text or the candidate is invalid; the problems say why.
	ErrorRejected ErrorKind = "rejected"
	// ErrorUnauthorized means that the token is missing or wrong.
	ErrorUnauthorized ErrorKind = "unauthorized"
	// ErrorUnavailable means that the request was not applied and may succeed later or at another node.
	ErrorUnavailable ErrorKind = "unavailable"
	// ErrorUnknownOutcome means that the request may have been applied.
	ErrorUnknownOutcome ErrorKind = "unknown_outcome"
)

var statusCodes = map[ErrorKind]int{
	ErrorConflict:       http.StatusConflict,
	ErrorInternal:       http.StatusInternalServerError,
	ErrorInvalid:        http.StatusBadRequest,
	ErrorNotFound:       http.StatusNotFound,
	ErrorTooLarge:       http.StatusRequestEntityTooLarge,
	ErrorRejected:       http.StatusUnprocessableEntity,
	ErrorUnauthorized:   http.StatusUnauthorized,
	ErrorUnavailable:    http.StatusServiceUnavailable,
	ErrorUnknownOutcome: http.StatusGatewayTimeout,
}

// StatusCode returns the HTTP status code of the kind.
func (k ErrorKind) StatusCode() int {
	if code, ok := statusCodes[k]; ok {
		return code
	}
	return http.StatusInternalServerError
}

// An Error reports that an operation failed.
type Error struct {
	operation   string
	kind        ErrorKind
	text        string
	problems    []string  // Sorted; only for ErrorRejected.
	current     *Resource // The newer resource of an ErrorConflict; nil when it was deleted or is not known.
	operationID string    // Of an accept; empty for other operations.
}

// ErrorOption sets an optional property of an Error.
type ErrorOption func(*Error)

// WithProblems sets the problems of an ErrorRejected.
func WithProblems(problems []string) ErrorOption {
	return func(e *Error) {
		e.problems = slices.Clone(problems)
		slices.Sort(e.problems)
	}
}

// WithCurrent sets the newer resource of an ErrorConflict.
func WithCurrent(r Resource) ErrorOption { return func(e *Error) { e.current = &r } }

// WithOperationID sets the operation id with which an accept can be retried.
func WithOperationID(id string) ErrorOption { return func(e *Error) { e.operationID = id } }

// NewError returns an error.
func NewError(operation string, kind ErrorKind, text string, options ...ErrorOption) *Error {
	e := &Error{operation: operation, kind: kind, text: text}
	for _, option := range options {
		option(e)
	}
	return e
}

// ErrorKindOf returns the kind of an error, or ErrorInternal for an error of another type.
func ErrorKindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return ErrorInternal
}

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind.
func (e *Error) Kind() ErrorKind { return e.kind }

// Text returns what went wrong.
func (e *Error) Text() string { return e.text }

// Problems returns the problems of an ErrorRejected, sorted.
func (e *Error) Problems() []string { return slices.Clone(e.problems) }

// Current returns the newer resource of an ErrorConflict, if it is known.
func (e *Error) Current() (Resource, bool) {
	if e.current == nil {
		return Resource{}, false
	}
	return *e.current, true
}

// OperationID returns the id with which an accept can be retried, or an empty string.
func (e *Error) OperationID() string { return e.operationID }

// Error returns the operation, the kind and the text, followed by one line for each problem.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s: %s", e.operation, e.kind, e.text)
	if len(e.problems) > 0 {
		s += "\n" + strings.Join(e.problems, "\n")
	}
	return s
}

// errorBody is the wire format of an Error.
type errorBody struct {
	Operation   string    `json:"operation"`
	Kind        ErrorKind `json:"kind"`
	Text        string    `json:"text"`
	Problems    []string  `json:"problems,omitempty"`
	Current     *Resource `json:"current,omitempty"`
	OperationID string    `json:"operation_id,omitempty"`
}

func (e *Error) body() errorBody {
	return errorBody{
		Operation: e.operation, Kind: e.kind, Text: e.text, Problems: e.problems, Current: e.current,
		OperationID: e.operationID,
	}
}

func (b errorBody) toError() *Error {
	return &Error{
		operation: b.Operation, kind: b.Kind, text: b.Text, problems: b.Problems, current: b.Current,
		operationID: b.OperationID,
	}
}
