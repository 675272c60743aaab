package baobabnode

import (
	"context"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// A limitController keeps client accounts within their limits over all nodes.
type limitController struct{}

// run reports use to coordinators until ctx ends.
func (l *limitController) run(context.Context) error { return nil }

// admit charges a request to an account, or returns a refusal with OutcomeNotRun. An empty account is never limited.
func (l *limitController) admit(time.Time, string) *call.Refusal { return nil }

// refund gives back the charge of an admitted request that certainly did not run.
func (l *limitController) refund(time.Time, string) {}

// answerUsage records the use that another node reports.
func (l *limitController) answerUsage(time.Time, *wire.UsageReport) *wire.UsageReply {
	return &wire.UsageReply{}
}
