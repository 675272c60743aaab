package baobabadmission

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// queueScript runs the commands in testdata/queue. Times are in milliseconds since simEpoch. An entry is named by its
// rank, caller and arrival number, for example urgent/a/1.
type queueScript struct {
	queue  *Queue
	nameOf map[*Entry]string
	byName map[string]*Entry
}

// TestQueue checks the order of service, the limits, displacement, and every refusal of the queue.
func TestQueue(t *testing.T) {
	datadriven.Walk(t, "testdata/queue", func(t *testing.T, path string) {
		s := &queueScript{nameOf: map[*Entry]string{}, byName: map[string]*Entry{}}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *queueScript) run(t *testing.T, d *datadriven.TestData) string {
	var ms int
	d.MaybeScanArgs(t, "at", &ms)
	now := simEpoch.Add(time.Duration(ms) * time.Millisecond)
	switch d.Cmd {
	case "policy":
		p := scriptPolicy(t, d)
		if s.queue == nil {
			s.queue = NewQueue(p)
		} else {
			s.queue.Configure(p)
		}
		s.queue.nestedPriority, s.queue.objectiveOrder = d.HasArg("nested-priority"), d.HasArg("objective-order")
		return fmt.Sprintf("waiting: %d\n", s.queue.Len())
	case "offer":
		return s.offer(t, d, now)
	case "next":
		return s.next(t, d, now)
	case "cancel":
		var name string
		d.ScanArgs(t, "entry", &name)
		return fmt.Sprintf("cancelled: %v, waiting: %d\n", s.queue.Cancel(s.byName[name]), s.queue.Len())
	case "expire":
		return s.drops(s.queue.Expire(now))
	case "drain":
		return s.drops(s.queue.Drain())
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
		return ""
	}
}

// scriptPolicy parses one rank per line: name, priority, floor percent, target in ms.
func scriptPolicy(t *testing.T, d *datadriven.TestData) Policy {
	var ranks []Rank
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		var name string
		var priority, floor, target int
		if _, err := fmt.Sscan(line, &name, &priority, &floor, &target); err != nil {
			d.Fatalf(t, "rank %q: %v", line, err)
		}
		ranks = append(ranks, NewRank(name, priority, floor, time.Duration(target)*time.Millisecond))
	}
	var limit, callerFloor int
	d.MaybeScanArgs(t, "limit", &limit)
	d.MaybeScanArgs(t, "caller-floor", &callerFloor)
	return NewPolicy(ranks, limit, callerFloor)
}

// offer offers one request per line: rank, caller, deadline in ms (0 for none), and optionally "nested" or the objective
// in ms. The arguments slots, in-flight, latency
// (ms) and min-service (ms) give the limit, the calls in flight, the mean latency and the least service time.
func (s *queueScript) offer(t *testing.T, d *datadriven.TestData, now time.Time) string {
	var slots, inFlight, latency, minService int
	d.MaybeScanArgs(t, "slots", &slots)
	d.MaybeScanArgs(t, "in-flight", &inFlight)
	d.MaybeScanArgs(t, "latency", &latency)
	d.MaybeScanArgs(t, "min-service", &minService)
	stats := NewUpstreamStats(slots, inFlight, time.Duration(latency)*time.Millisecond,
		time.Duration(minService)*time.Millisecond)
	var b strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		var rank, caller string
		var ms int
		if _, err := fmt.Sscan(line, &rank, &caller, &ms); err != nil {
			d.Fatalf(t, "request %q: %v", line, err)
		}
		var deadline time.Time
		if ms > 0 {
			deadline = simEpoch.Add(time.Duration(ms) * time.Millisecond)
		}
		r := NewRequest(rank, caller, deadline, "")
		if words := strings.Fields(line); len(words) > 3 && words[3] == "nested" {
			r = r.WithNested()
		} else if len(words) > 3 {
			objective, err := strconv.Atoi(words[3])
			if err != nil {
				d.Fatalf(t, "objective of %q: %v", line, err)
			}
			r = r.WithObjective(simEpoch.Add(time.Duration(objective) * time.Millisecond))
		}
		e, drops, refusal := s.queue.Offer(now, r, stats)
		b.WriteString(s.drops(drops))
		if refusal != nil {
			fmt.Fprintf(&b, "refused %s/%s: %s\n", rank, caller, refusalText(refusal))
			continue
		}
		name := fmt.Sprintf("%s/%s/%d", rank, caller, len(s.nameOf)+1)
		s.nameOf[e], s.byName[name] = name, e
		fmt.Fprintf(&b, "waits %s\n", name)
	}
	return b.String()
}

func (s *queueScript) next(t *testing.T, d *datadriven.TestData, now time.Time) string {
	n := 1
	d.MaybeScanArgs(t, "count", &n)
	var b strings.Builder
	for range n {
		e, drops := s.queue.Next(now)
		b.WriteString(s.drops(drops))
		if e == nil {
			b.WriteString("empty\n")
			break
		}
		fmt.Fprintf(&b, "granted %s\n", s.nameOf[e])
	}
	return b.String()
}

func (s *queueScript) drops(drops []Drop) string {
	var b strings.Builder
	for _, d := range drops {
		fmt.Fprintf(&b, "dropped %s: %s\n", s.nameOf[d.Entry()], refusalText(d.Refusal()))
	}
	return b.String()
}

func refusalText(r *call.Refusal) string {
	text := fmt.Sprintf("%s %s", r.Reason(), r.Outcome())
	if r.RetryAfter() > 0 {
		text += fmt.Sprintf(" retry after %v", r.RetryAfter().Round(time.Millisecond))
	}
	return text
}
