package baobabproof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// TestLifecycle guards against a node that reports ready too early, serves operators without the token, or does not
// exit with status 0 once the calls in progress have finished.
func TestLifecycle(t *testing.T) {
	m := startUnconfiguredMesh(t, smallMeshSpec(t))
	ctx, n := testContext(t), m.Nodes()[0]
	base := "http://" + n.OperatorAddress()
	if r := send(ctx, t, http.MethodGet, base+"/healthz", "", nil); r.status != http.StatusOK {
		t.Errorf("healthz: status %d, want 200", r.status)
	}
	if r := send(ctx, t, http.MethodGet, base+"/readyz", "", nil); r.status != http.StatusServiceUnavailable || r.body == "" {
		t.Errorf("readyz without a configuration: status %d, body %q; want 503 and the reason", r.status, r.body)
	}
	if r := send(ctx, t, http.MethodGet, n.EntryURL()+"/availability", "", nil); r.header.Get("Baobab-Refusal") != "not_ready" {
		t.Errorf("call without a configuration: status %d, body %q; want not_ready", r.status, r.body)
	}
	applyAndWaitServing(t, m)
	if r := send(ctx, t, http.MethodGet, base+"/readyz", "", nil); r.status != http.StatusOK {
		t.Errorf("readyz: status %d, body %q, want 200", r.status, r.body)
	}
	for cause, header := range map[string]map[string]string{
		"missing": nil, "wrong": {"Authorization": "Bearer 0123456789abcdef"},
	} {
		const attempts = 5
		for range attempts {
			if r := send(ctx, t, http.MethodGet, base+"/v1/status", "", header); r.status != http.StatusUnauthorized {
				t.Errorf("token %s: status %d, want 401", cause, r.status)
			}
		}
		if v, _ := metricValue(t, n, fmt.Sprintf("baobab_operator_unauthorized_total{cause=%q}", cause)); v != attempts {
			t.Errorf("token %s: %v counted, want %d", cause, v, attempts)
		}
		if lines := countLogLines(t, n, "operator refused", cause); lines != 1 {
			t.Errorf("token %s: %d log lines, want 1", cause, lines)
		}
	}
	slow := make(chan response, 1)
	go func() { slow <- send(ctx, t, http.MethodGet, n.EntryURL()+"/session-records?delay_ms=6000", "", nil) }()
	waitInFlight(ctx, t, m.NodesOfService("session-records"), 1)
	stopped := make(chan error, 1)
	go func() { stopped <- n.NodeProcess().Terminate(ctx) }()
	waitUntil(ctx, t, "the log line of the shutdown", func() bool { return countLogLines(t, n, "stopping") > 0 })
	// The slow call keeps the node running until readyz has been requested.
	if r := send(ctx, t, http.MethodGet, base+"/readyz", "", nil); r.status != http.StatusServiceUnavailable || r.body != "stopping\n" {
		t.Errorf("readyz of a stopping node: status %d, body %q; want 503, stopping", r.status, r.body)
	}
	if err := <-stopped; err != nil {
		t.Errorf("exit after SIGTERM: %v, want status 0", err)
	}
	if r := <-slow; r.header.Get("Baobab-Outcome") != "ran" {
		t.Errorf("call in progress at SIGTERM: status %d, refusal %q; want the answer", r.status, r.header.Get("Baobab-Refusal"))
	}
}

// TestWrongSettings guards against invalid settings that are accepted, and against error messages that do not give the
// position of the problem.
func TestWrongSettings(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"peer.key": "0123456789abcdef", "operator.token": "0123456789abcdef"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const valid = "[node]\nid = n1\nfailure_domain = a\nregion = r\n[listen]\nentry_address = 127.0.0.1:1\npeer_address = 127.0.0.1:2\n" +
		"operator_address = 127.0.0.1:3\nannounce_address = 127.0.0.1:4\n[platform]\nurl = http://127.0.0.1:5\ntimeout = 2s\n" +
		"[peers]\nkey_file = peer.key\n[operator]\ntoken_file = operator.token\n"
	for _, c := range []struct{ name, from, to, want string }{
		{"unknown key", "region = r\n", "region = r\ncolour = red\n", "[node] colour: unknown key"},
		{"bad unit", "timeout = 2s", "timeout = 2 parsecs", `[platform] timeout: "2 parsecs" is not a duration such as 250ms`},
		{"missing field", "region = r\n", "", "[node] region: a value is required"},
	} {
		file := filepath.Join(dir, "node.ini")
		if err := os.WriteFile(file, []byte(strings.Replace(valid, c.from, c.to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		for _, args := range [][]string{{"node", "--settings", file}, {"settings", "check", file}} {
			cmd := exec.CommandContext(testContext(t), binaries.Product(), args...)
			var out, errs bytes.Buffer
			cmd.Stdout, cmd.Stderr = &out, &errs
			_ = cmd.Run()
			if want := file + ": " + c.want + "\n"; cmd.ProcessState.ExitCode() != 2 || errs.String() != want || out.Len() > 0 {
				t.Errorf("%s, %s: exit status %d, error output %q, output %q; want 2, %q, none", c.name, args[0],
					cmd.ProcessState.ExitCode(), errs.String(), out.String(), want)
			}
		}
	}
}

// TestCallerIsolation guards against an answer that reaches a caller other than the one that sent the request.
func TestCallerIsolation(t *testing.T) {
	m := startUnconfiguredMesh(t, smallMeshSpec(t))
	applyAndWaitServing(t, m)
	ctx, nodes := testContext(t), m.Nodes()
	type answer struct {
		Caller string `json:"caller"`
		CallID string `json:"call_id"`
		Key    string `json:"key"`
	}
	post := func(n *baobabemulator.MeshNode, key string, header map[string]string) answer {
		t.Helper()
		header["Idempotency-Key"] = key
		var r response
		waitUntil(ctx, t, "the record of the first answer", func() bool {
			r = send(ctx, t, http.MethodPost, n.EntryURL()+"/deposits/payments", "same body", header)
			return r.header.Get("Baobab-Refusal") != "in_progress"
		})
		var a answer
		if err := json.Unmarshal([]byte(strings.SplitN(r.body, "\n", 2)[0]), &a); err != nil || r.status != http.StatusOK {
			t.Errorf("%v: status %d, body %.100q: %v", header, r.status, r.body, err)
		}
		return a
	}
	callIDs := map[string]string{}
	for _, c := range []struct {
		caller, key string
		header      map[string]string
	}{
		{"club-a", "key", map[string]string{"Baobab-Caller": "club-a"}},
		{"club-b", "key", map[string]string{"Baobab-Caller": "club-b"}},
		{"club", "a/key", map[string]string{"Baobab-Caller": "club"}},
		{"club/a", "key", map[string]string{"Baobab-Caller": "club/a"}},
		{"club-c", "key", map[string]string{"Baobab-Caller": "club-c", "Connection": "Baobab-Caller, Idempotency-Key"}},
		{"club-d", "key", map[string]string{"Baobab-Caller": "club-d", "Baobab_Caller": "club-a", "Baobab-Call-Id": "forged"}},
		{"127.0.0.1", "key", map[string]string{"Baobab_Caller": "club-a"}},
	} {
		for _, n := range nodes {
			a := post(n, c.key, c.header)
			if a.Caller != c.caller || a.Key != c.key {
				t.Errorf("%s through %s: the answer is for caller %q, key %q", c.caller, n.ID(), a.Caller, a.Key)
			}
			if id, ok := callIDs[c.caller]; ok && id != a.CallID {
				t.Errorf("%s through %s: the key ran twice, as %s and %s", c.caller, n.ID(), id, a.CallID)
			}
			callIDs[c.caller] = a.CallID
		}
	}
	// Calls without a key run separately even if their content is the same.
	seen := map[string]bool{}
	for _, caller := range []string{"club-a", "club-a", "club-b"} {
		r := send(ctx, t, http.MethodGet, nodes[0].EntryURL()+"/availability/lanes", "", map[string]string{"Baobab-Caller": caller})
		var a answer
		if err := json.Unmarshal([]byte(strings.SplitN(r.body, "\n", 2)[0]), &a); err != nil || a.Caller != caller || seen[a.CallID] {
			t.Errorf("%s: answer for %q of call %q, seen before %t: %v", caller, a.Caller, a.CallID, seen[a.CallID], err)
		}
		seen[a.CallID] = true
	}
	if len(callIDs) != len(distinctValues(callIDs)) {
		t.Errorf("callers share answers: %v", callIDs)
	}
}

func distinctValues(m map[string]string) map[string]bool {
	values := map[string]bool{}
	for _, v := range m {
		values[v] = true
	}
	return values
}
