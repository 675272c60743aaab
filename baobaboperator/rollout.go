package baobaboperator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"goji.io"
	"goji.io/pat"
)

// A Rollout is the state of the roll-out of one service.
type Rollout struct {
	Service  string  `json:"service"`
	Target   string  `json:"target"`
	Baseline string  `json:"baseline"`
	State    string  `json:"state"` // ordered, running, rolling_back, completed or rolled_back.
	Share    float64 `json:"share"` // Of the requests for the target.
	Reason   string  `json:"reason"`
	Decider  string  `json:"decider"` // Node that decided the stage.
}

// A RolloutService orders roll-outs. Its errors are those of a Service.
type RolloutService interface {
	// Rollouts returns the roll-outs of all services, sorted by service.
	Rollouts(ctx context.Context) ([]Rollout, error)
	// StartRollout orders that the requests of a service move to a version within a duration. A repeated order begins again.
	StartRollout(ctx context.Context, service, target string, duration time.Duration) error
	// AbortRollout orders that the requests of a service stay at, or go back to, the version in use.
	AbortRollout(ctx context.Context, service string) error
}

// WithRollouts adds the routes for roll-outs.
func WithRollouts(r RolloutService) ServerOption { return func(s *Server) { s.rollouts = r } }

// rolloutList is the response body of a list of roll-outs.
type rolloutList struct {
	Rollouts []Rollout `json:"rollouts"`
}

// rolloutOrder is the request body of an order.
type rolloutOrder struct {
	Target     string `json:"target"`
	DurationMs int64  `json:"duration_ms"`
}

// addRolloutRoutes adds the handlers of the paths under /v1/rollouts.
func (s *Server) addRolloutRoutes(v1 *goji.Mux) {
	if s.rollouts == nil {
		return
	}
	v1.Handle(pat.Get("/rollouts"), s.handler("list rollouts", func(ctx context.Context, _ *http.Request) (any, error) {
		list, err := s.rollouts.Rollouts(ctx)
		return rolloutList{Rollouts: append([]Rollout{}, list...)}, err
	}))
	v1.Handle(pat.Post("/rollouts/:service"), s.handler("start rollout", s.startRollout))
	v1.Handle(pat.Post("/rollouts/:service/abort"), s.handler("abort rollout", func(ctx context.Context, r *http.Request) (any, error) {
		return struct{}{}, s.rollouts.AbortRollout(ctx, pat.Param(r, "service"))
	}))
}

func (s *Server) startRollout(ctx context.Context, r *http.Request) (any, error) {
	var o rolloutOrder
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil {
		return nil, readBodyError("start rollout", err)
	}
	service := pat.Param(r, "service")
	if !validName(service) || !validName(o.Target) || o.DurationMs <= 0 {
		return nil, NewError("start rollout", ErrorInvalid, "a service, a target and a positive duration_ms are required")
	}
	return struct{}{}, s.rollouts.StartRollout(ctx, service, o.Target, time.Duration(o.DurationMs)*time.Millisecond)
}

// Rollouts returns the roll-outs of all services.
func (c *Client) Rollouts(ctx context.Context) ([]Rollout, error) {
	var list rolloutList
	err := c.get(ctx, "list rollouts", "/v1/rollouts", &list)
	return list.Rollouts, err
}

// StartRollout orders that the requests of a service move to a version within a duration.
func (c *Client) StartRollout(ctx context.Context, service, target string, duration time.Duration) error {
	body, err := json.Marshal(rolloutOrder{Target: target, DurationMs: duration.Milliseconds()})
	if err != nil {
		return NewError("start rollout", ErrorInternal, err.Error())
	}
	header := http.Header{"Content-Type": {"application/json"}}
	_, err = c.send(ctx, request{"start rollout", http.MethodPost, "/v1/rollouts/" + url.PathEscape(service), header, body}, nil)
	return err
}

// AbortRollout orders that the requests of a service stay at the version in use.
func (c *Client) AbortRollout(ctx context.Context, service string) error {
	path := "/v1/rollouts/" + url.PathEscape(service) + "/abort"
	_, err := c.send(ctx, request{"abort rollout", http.MethodPost, path, http.Header{}, nil}, nil)
	return err
}
