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

// shell runs command lines against a fake service.
type shell struct {
	service *fakeService
	node    string
	dead    string // Nothing listens on the port, which only the superuser can open.
}

func newShell(t *testing.T) *shell {
	token, err := os.ReadFile("testdata/operator.token")
	if err != nil {
		t.Fatal(err)
	}
	service := newFakeService()
	server := httptest.NewServer(operator.NewServer(service, alwaysReady{}, strings.TrimSpace(string(token))))
	t.Cleanup(server.Close)
	return &shell{service: service, node: server.URL, dead: "http://127.0.0.1:1"}
}

// run runs one command line and returns all output with the exit code.
func (s *shell) run(ctx context.Context, line string) string {
	environment := map[string]string{"BAOBABDALE_NODE": s.node, "BAOBABDALE_TOKEN_FILE": "testdata/operator.token"}
	var out, errors bytes.Buffer
	a := &app{
		out: &out, err: &errors, readFile: os.ReadFile, getenv: func(name string) string { return environment[name] },
		runNode: func(_ context.Context, settings *baobabsettings.Settings) error {
			fmt.Fprintf(&out, "node %s runs\n", settings.Node().ID())
			return nil
		},
	}
	names := strings.NewReplacer("DEAD", s.dead, "NODE", s.node)
	args := strings.Fields(names.Replace(line))
	for i := range args {
		args[i] = strings.ReplaceAll(args[i], `""`, "")
	}
	code := a.main(ctx, args)
	text := out.String()
	if errors.Len() > 0 {
		text += "stderr:\n" + errors.String()
	}
	back := strings.NewReplacer(s.dead, "DEAD", s.node, "NODE", strings.TrimPrefix(s.dead, "http://"), "DEAD")
	return back.Replace(text) + fmt.Sprintf("exit %d\n", code)
}

// reports reads one node per line: id, failure domain, state, version number, then optional fields.
func (s *shell) reports(t *testing.T, d *datadriven.TestData) {
	s.service.reports = nil
	for line := range strings.Lines(d.Input) {
		words := strings.Fields(line)
		r := operator.NodeReport{ID: words[0], FailureDomain: words[1], State: words[2], InForce: time.Minute}
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
				r.Unreachable = value
			}
		}
		s.service.reports = append(s.service.reports, r)
	}
}

// TestTranscripts guards against changes of output, of exit codes and of what reaches the service.
func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata/transcripts", func(t *testing.T, path string) {
		s := newShell(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "run":
				var b strings.Builder
				for line := range strings.Lines(d.Input) {
					fmt.Fprintf(&b, "$ %s%s", strings.TrimSpace(line)+"\n", s.run(t.Context(), line))
				}
				return b.String()
			case "nodes":
				s.reports(t, d)
			case "race":
				s.service.race = []byte(d.Input)
			case "fail":
				s.service.fail = operator.ErrorKind(strings.TrimSpace(d.Input))
			case "arrive":
				d.ScanArgs(t, "looks", &s.service.arrive)
			default:
				d.Fatalf(t, "unknown directive %s", d.Cmd)
			}
			return ""
		})
	})
}

// TestWatchEnds guards against a watch that ends with an error when the operator interrupts it.
func TestWatchEnds(t *testing.T) {
	s := newShell(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if got := s.run(ctx, "watch"); got != "exit 0\n" {
		t.Errorf("interrupted watch: %s", got)
	}
}
