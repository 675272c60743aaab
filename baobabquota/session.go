package baobabquota

import "time"

// A session is a meter's series of reports to one coordinator.
type session struct {
	coordinator     string
	number          uint64
	active          map[string]*meterAccount // Accounts to report.
	throttled       map[string]*meterAccount // Accounts with a share below 1.
	lastSent        time.Time
	waiting         bool      // A report is unanswered.
	unansweredSince time.Time // When the first report since the last reply was sent; zero if all are answered.
	urgent          bool
	everAnswered    bool
}

func newSession(coordinator string, number uint64) *session {
	return &session{coordinator: coordinator, number: number, active: map[string]*meterAccount{}, throttled: map[string]*meterAccount{}}
}

// newFailoverSession returns the session that goes on with another candidate in place of a silent one.
func newFailoverSession(s *session, candidate string, number uint64) *session {
	next := newSession(candidate, number)
	next.everAnswered, next.unansweredSince = s.everAnswered, s.unansweredSince
	return next
}

// due reports whether to send a report now. A node reports to itself more often, because its own use is lost with it, except for
// what the levels in grants to other nodes tell.
func (s *session) due(now time.Time, self string) bool {
	age := now.Sub(s.lastSent)
	if len(s.active) == 0 || (s.waiting && age < replyTimeout) {
		return false
	}
	return age >= reportInterval || ((s.urgent || s.coordinator == self) && age >= urgentInterval)
}

func (s *session) sent(now time.Time) {
	s.lastSent, s.waiting, s.urgent = now, true, false
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
}

func (s *session) answered(_ time.Time) {
	s.waiting, s.everAnswered, s.unansweredSince = false, true, time.Time{}
}

// silence returns the time since the first report that the coordinator has not answered, or zero.
func (s *session) silence(now time.Time) time.Duration {
	if s.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(s.unansweredSince)
}

// lost reports whether the coordinator has been silent for too long.
func (s *session) lost(now time.Time) bool { return FallsBack(s.silence(now)) }

// FallsBack reports whether a node without a reply for a time admits only its own share of the limits.
func FallsBack(silence time.Duration) bool { return silence > silenceLimit }
