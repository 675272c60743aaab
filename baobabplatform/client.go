package baobabplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// A Client is a Store that accesses the platform over HTTP. It never retries a request.
type Client struct {
	requester *Requester
}

var (
	_ Store      = (*Client)(nil)
	_ Restorable = (*Client)(nil)
)

// NewClient returns a client of the platform at an http or https address such as "http://127.0.0.1:7000".
func NewClient(address string, options ...RequesterOption) (*Client, error) {
	requester, err := NewRequester(address,
		append([]RequesterOption{WithConflict(http.StatusConflict, decodeConflictRows), WithEraField(EraField)}, options...)...)
	if err != nil {
		return nil, err
	}
	return &Client{requester: requester}, nil
}

// decodeConflictRows decodes the current rows in the response to a transaction whose conditions do not hold.
func decodeConflictRows(body []byte) ([]Row, error) {
	var j struct {
		Rows []Row `json:"rows"`
	}
	err := json.Unmarshal(body, &j)
	return j.Rows, err
}

// Close closes idle connections.
func (c *Client) Close() { c.requester.Close() }

// Era implements Restorable.
func (c *Client) Era() uint64 { return c.requester.Era() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Row, bool, error) {
	const operation = "get"
	if err := CheckKey(key); err != nil {
		return Row{}, false, NewError(operation, KindInvalid, err)
	}
	response, err := c.requester.Read(ctx, operation, "/v1/table/row?key="+url.QueryEscape(key))
	if KindOf(err) == KindNotFound {
		return Row{}, false, nil
	}
	if err != nil {
		return Row{}, false, err
	}
	var r Row
	if err := json.Unmarshal(response.Data(), &r); err != nil {
		return Row{}, false, NewError(operation, KindUnavailable, err)
	}
	if r.key != key || r.revision == 0 {
		return Row{}, false, NewError(operation, KindUnavailable, errors.Errorf("answer for key %.64q, want %.64q", r.key, key))
	}
	return r, true, nil
}

// Scan implements Store.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	const operation = "scan"
	response, err := c.requester.Read(ctx, operation, "/v1/table/scan?prefix="+url.QueryEscape(prefix))
	if err != nil {
		return nil, err
	}
	var j struct {
		Rows []Row `json:"rows"`
	}
	if err := json.Unmarshal(response.Data(), &j); err != nil {
		return nil, NewError(operation, KindUnavailable, err)
	}
	for i, r := range j.Rows {
		if !strings.HasPrefix(r.key, prefix) || r.revision == 0 || (i > 0 && j.Rows[i-1].key >= r.key) {
			return nil, NewError(operation, KindUnavailable, errors.Errorf("unexpected or unsorted row %.64q", r.key))
		}
	}
	return j.Rows, nil
}

// Commit implements Store.
func (c *Client) Commit(ctx context.Context, tx Transaction) (uint64, error) {
	const operation = "commit"
	if err := tx.Validate(); err != nil {
		return 0, NewError(operation, KindInvalid, err)
	}
	data, err := json.Marshal(tx)
	if err != nil {
		return 0, NewError(operation, KindInvalid, err)
	}
	response, err := c.requester.Write(ctx, operation, http.MethodPost, "/v1/table/commit", "application/json", data)
	if err != nil {
		return 0, err
	}
	var j struct {
		Revision *uint64 `json:"revision"`
	}
	if err := json.Unmarshal(response.Data(), &j); err != nil {
		return 0, NewError(operation, KindUnknownOutcome, err)
	}
	if j.Revision == nil {
		return 0, NewError(operation, KindUnknownOutcome, errors.New("answer has no revision"))
	}
	return *j.Revision, nil
}

// PutObject implements Store.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	const operation = "put object"
	if err := CheckObjectName(name); err != nil {
		return NewError(operation, KindInvalid, err)
	}
	if len(data) == 0 || len(data) > MaxObjectBytes {
		return NewError(operation, KindInvalid, errors.Errorf("object has %d bytes, want 1 to %d", len(data), MaxObjectBytes))
	}
	_, err := c.requester.Write(ctx, operation, http.MethodPut, "/v1/objects/"+name, "application/octet-stream", data)
	return err
}

// GetObject implements Store.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	const operation = "get object"
	if err := CheckObjectName(name); err != nil {
		return nil, NewError(operation, KindInvalid, err)
	}
	response, err := c.requester.Read(ctx, operation, "/v1/objects/"+name)
	return response.Data(), err
}

// CheckObjectName returns an error unless the name consists of segments of letters, digits, "_", "-" and "."
// between slashes.
func CheckObjectName(name string) error {
	if len(name) > MaxKeyBytes {
		return errors.Errorf("object name has %d bytes, limit %d", len(name), MaxKeyBytes)
	}
	for segment := range strings.SplitSeq(name, "/") {
		if segment == "" || segment == "." || segment == ".." || strings.ContainsFunc(segment, isForbiddenInObjectName) {
			return errors.Errorf("invalid object name %.64q", name)
		}
	}
	return nil
}

func isForbiddenInObjectName(r rune) bool { return !strings.ContainsRune(objectNameCharacters, r) }

const objectNameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-."
