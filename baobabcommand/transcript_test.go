package baobabcommand

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	operator "github.com/baobabdale/baobabdale/baobaboperator"
	"github.com/baobabdale/baobabdale/baobabsettings"
)

type alwaysReady struct{}

func (alwaysReady) Ready(time.Time) (bool, string) { return true, "" }

// testCLI runs command lines against a fake service.
type testCLI struct {
	service        *fakeService
	nodeURL        string
	unreachableURL string // Has no listener; only the superuser can listen on the port.
}

func newTestCLI(t *testing.T) *testCLI {
	token, err := os.ReadFile("testdata/operator.token")
	if err != nil {
		t.Fatal(err)
	}
	service := newFakeService()
	server := httptest.NewServer(operator.NewServer(service, alwaysReady{}, strings.TrimSpace(string(token))))
	t.Cleanup(server.Close)
	return &testCLI{service: service, nodeURL: server.URL, unreachableURL: "http://127.0.0.1:1"}
}

// run runs one command line and returns its output, its error output and its exit code. URLs are replaced by NODE and
// DEAD, as in the command line.
func (s *testCLI) run(ctx context.Context, line string) string {
	environment := map[string]string{"BAOBABDALE_NODE": s.nodeURL, "BAOBABDALE_TOKEN_FILE": "testdata/operator.token"}
	var out, errOut bytes.Buffer
	a := &app{
		out: &out, err: &errOut, readFile: os.ReadFile, getenv: func(name string) string { return environment[name] },
		runNode: func(_ context.Context, settings *baobabsettings.Settings) error {
			fmt.Fprintf(&out, "node %s runs\n", settings.Node().ID())
			return nil
		},
	}
	toURLs := strings.NewReplacer("DEAD", s.unreachableURL, "NODE", s.nodeURL)
	args := strings.Fields(toURLs.Replace(line))
	for i := range args {
		args[i] = strings.ReplaceAll(args[i], `""`, "")
	}
	code := a.main(ctx, args)
	text := out.String()
	if errOut.Len() > 0 {
		text += "stderr:\n" + errOut.String()
	}
	toNames := strings.NewReplacer(s.unreachableURL, "DEAD", s.nodeURL, "NODE",
		strings.TrimPrefix(s.unreachableURL, "http://"), "DEAD")
	return toNames.Replace(text) + fmt.Sprintf("exit %d\n", code)
}

// setReports sets the reports of the service from lines with a node each: id, failure domain, state, version number or
// "current", then optional fields.
func (s *testCLI) setReports(t *testing.T, d *datadriven.TestData) {
	s.service.reports = nil
	for line := range strings.Lines(d.Input) {
		words := strings.Fields(line)
		r := operator.NodeReport{ID: words[0], FailureDomain: words[1], State: words[2], VersionAge: time.Minute}
		if words[3] == "current" {
			r.Version = s.service.version
		} else if _, err := fmt.Sscan(words[3], &r.Version.Number); err != nil {
			d.Fatalf(t, "%s: %v", line, err)
		}
		for _, w := range words[4:] {
			name, value, _ := strings.Cut(w, "=")
			switch name {
			case "rejected":
				r.Rejected, r.RejectedReason, r.RejectedAge = s.service.version, value, 5*time.Second
			case "draining":
				r.Service, r.Upstream, r.EndpointState = "quotes", value, "draining"
			case "refused":
				r.Refusals = map[string]uint64{value: 3}
			case "retried":
				r.Retries = map[string]uint64{value: 2}
			case "unreachable":
				r.UnreachableReason = value
			}
		}
		s.service.reports = append(s.service.reports, r)
	}
}

// TestTranscripts guards against unintended changes of output, of exit codes and of what reaches the service.
func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata/transcripts", func(t *testing.T, path string) {
		s := newTestCLI(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "run":
				var b strings.Builder
				for line := range strings.Lines(d.Input) {
					fmt.Fprintf(&b, "$ %s%s", strings.TrimSpace(line)+"\n", s.run(t.Context(), line))
				}
				return b.String()
			case "nodes":
				s.setReports(t, d)
			case "race":
				s.service.concurrentText = []byte(d.Input)
			case "fail":
				s.service.errorKind = operator.ErrorKind(strings.TrimSpace(d.Input))
			case "arrive":
				d.ScanArgs(t, "requests", &s.service.statusCallsUntilUpdated)
			default:
				d.Fatalf(t, "unknown directive %s", d.Cmd)
			}
			return ""
		})
	})
}

// TestWatchEnds guards against a watch that fails when the operator interrupts it.
func TestWatchEnds(t *testing.T) {
	s := newTestCLI(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if got := s.run(ctx, "watch"); got != "exit 0\n" {
		t.Errorf("interrupted watch: %s", got)
	}
}
