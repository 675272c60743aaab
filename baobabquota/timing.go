package baobabquota

import "time"

// PauseLimit is how long a process may not run before its grants, and those that it has got, no longer hold.
const PauseLimit = time.Second

const (
	// reportInterval is the time between two reports while accounts are used. A node with use in each interval
	// then sends 2.5 reports per second and shard, and the coordinator knows of a demand that rises eightfold in time.
	reportInterval = 400 * time.Millisecond
	// urgentInterval is the minimum time between two reports when an account runs out of its grant.
	urgentInterval = 100 * time.Millisecond
	// replyTimeout is how long a report may remain unanswered before the next one is sent.
	replyTimeout = 400 * time.Millisecond
	// silenceLimit is how long a node continues with its recent rate without a reply. Coordinators charge it for that time.
	silenceLimit = 4000 * time.Millisecond
	// idleTime is how long a throttled account is reported after its last request, so that the node learns when the
	// account is below its limit again.
	idleTime = 5 * time.Second
	// keepTime is how long the rest of a grant may be used after a pause of the account.
	keepTime = 3 * time.Second
	// staleTime is how long a node applies a share below 1 that it has not been told again.
	staleTime = 15 * time.Second
	// forgetTime is how long an unused account is remembered. It exceeds the time in which a full burst builds up for the
	// usual burst of a few seconds.
	forgetTime = 30 * time.Second
	// lookAhead is the demand that the level of an account must cover: one report interval and the delay of a reply.
	lookAhead = 500 * time.Millisecond
	// settleTime is how long an account must have been idle at a coordinator before it starts with a full burst.
	settleTime = 10 * time.Second
	// presumeAfter is when a coordinator starts to charge a silent node for its recent rate.
	presumeAfter = 500 * time.Millisecond
	// takeoverTime is how long a coordinator does not admit more for nodes that start to report to it than they did before.
	// In that time all nodes learn of the change of members.
	takeoverTime = 2500 * time.Millisecond
	// announceInterval is the time between two announcements of an account over its limit.
	announceInterval = time.Second
	// rateWindow is the time constant of the demand of a node.
	rateWindow = 700 * time.Millisecond
	// minRetryAfter is the lowest Retry-After of a refusal.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter bounds the Retry-After of a refusal.
	maxRetryAfter = 5 * time.Second
)

const (
	// minorityShare is the part of its proportional share that a node or a minority of nodes uses without the rest of the
	// mesh. Half of the mesh then adds at most 0.075 of the rate; limits allow an overage of a tenth.
	minorityShare = 0.15
	// silentMargin is how much more than its recent rate a node admits of an account below its limit while the coordinator
	// is silent, because random arrivals exceed their mean.
	silentMargin = 0.5
	// takeoverPart is the part of the demand from which the nodes that start to report determine the share.
	takeoverPart = 0.2
	// minWeight is the demand that a node without any counts for among the nodes that start to report, in requests per second.
	minWeight = 0.01
	// silentShare is the part of an equal share that a node may use while the coordinator is silent, if its recent rate is
	// lower and the account was below its limit.
	silentShare = 0.7
	// toldPart is the part of the members that must report for their replies to take the place of announcements.
	toldPart = 0.95
	// announceDrop is the part of the announced share below which the share is announced again at once.
	announceDrop = 0.7
	// tolerance is the number of requests that an account may be ahead of its limit. Without it an account of 5 requests
	// per second with random arrivals at 0.62 of its rate has 7 in 1,000 requests refused even by one exact token bucket.
	tolerance = 8
	// openRequests is the least that a node may admit without asking first, while an account is below its limit.
	openRequests = 2
	// maxReportAccounts bounds the accounts in one report; the others follow in the next one.
	maxReportAccounts = 512
	// maxHotGrants bounds the accounts over their limit that a reply names although the report does not.
	maxHotGrants = 64
)
