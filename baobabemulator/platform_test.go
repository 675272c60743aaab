package baobabemulator

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

// TestPlatformFaults guards against an emulated platform whose faults have another effect than documented, which would
// invalidate every proof that uses it. Each step runs with the HTTP client and with the in-memory store.
func TestPlatformFaults(t *testing.T) {
	p := NewPlatform()
	server := httptest.NewServer(p)
	defer server.Close()
	client, err := platform.NewClient(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	memory := NewPlatformMemoryStore()
	stores := []struct {
		name  string
		store platform.Store
		set   func(PlatformFaults) error
	}{
		{"http", client, p.SetFaults},
		{"memory", memory, memory.SetFaults},
	}
	tests := []struct {
		name    string
		faults  PlatformFaults
		commit  platform.Kind
		applied bool
	}{
		{"none", PlatformFaults{}, "", true},
		{"down", PlatformFaults{Down: true}, platform.KindUnknownOutcome, false},
		{"refuse", PlatformFaults{RefuseWrites: 1}, platform.KindUnavailable, false},
		{"lose", PlatformFaults{LoseWrites: 1}, platform.KindUnknownOutcome, true},
		{"delay", PlatformFaults{Delay: "1ms"}, "", true},
	}
	for _, s := range stores {
		for _, tt := range tests {
			t.Run(s.name+" "+tt.name, func(t *testing.T) {
				ctx := context.Background()
				if err := s.set(tt.faults); err != nil {
					t.Fatal(err)
				}
				_, err := s.store.Commit(ctx, platform.NewTransaction().Put(tt.name, []byte("v")).Build())
				if platform.KindOf(err) != tt.commit {
					t.Errorf("Commit() = %v, want kind %q", err, tt.commit)
				}
				if err := s.set(PlatformFaults{}); err != nil {
					t.Fatal(err)
				}
				if _, ok, err := s.store.Get(ctx, tt.name); err != nil || ok != tt.applied {
					t.Errorf("Get() = %v, %v, want applied %v", ok, err, tt.applied)
				}
			})
		}
		t.Run(s.name+" stale reads", func(t *testing.T) {
			ctx := context.Background()
			if err := s.set(PlatformFaults{StaleReads: true}); err != nil {
				t.Fatal(err)
			}
			if _, err := s.store.Commit(ctx, platform.NewTransaction().IfAbsent("s").Put("s", nil).Build()); err != nil {
				t.Error(err)
			}
			if _, ok, err := s.store.Get(ctx, "s"); ok || err != nil {
				t.Errorf("Get() = %v, %v, want the older state", ok, err)
			}
			_, err := s.store.Commit(ctx, platform.NewTransaction().IfAbsent("s").Build())
			if platform.KindOf(err) != platform.KindConflict {
				t.Errorf("Commit() = %v, want a conflict with the current state", err)
			}
			if err := s.set(PlatformFaults{}); err != nil {
				t.Fatal(err)
			}
			if _, ok, err := s.store.Get(ctx, "s"); !ok || err != nil {
				t.Errorf("Get() = %v, %v, want the current state", ok, err)
			}
		})
	}
}

// TestPlatformRates guards against an emulated platform that accepts more requests than its rates allow.
func TestPlatformRates(t *testing.T) {
	p := NewPlatform(WithPlatformRates(10, 20))
	codes := map[int]int{}
	start := time.Now()
	for range 40 {
		w := httptest.NewRecorder()
		p.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/table/commit", bytes.NewBufferString(
			`{"conditions":[],"writes":[{"key":"k","value":"dg=="}]}`)))
		codes[w.Code]++
	}
	// The burst is 1 write. One more write is allowed for rounding, and those that the rate allowed since start.
	limit := 2 + int(10*time.Since(start).Seconds())
	if codes[http.StatusOK] < 1 || codes[http.StatusOK] > limit {
		t.Errorf("%d writes passed, want 1 to %d", codes[http.StatusOK], limit)
	}
	c := p.Counters()
	if int(c.Writes) != codes[http.StatusOK] || int(c.Throttled) != codes[http.StatusTooManyRequests] ||
		c.RowsWritten != c.Writes || c.PeakWritesPerSecond == 0 || c.PeakWritesPerSecond > c.Writes {
		t.Errorf("Counters() = %+v, want counts that match the status codes %v", c, codes)
	}
}

// TestPlatformFaultsRequest guards against misspelt field names that are ignored, and against requests that reset fields
// they do not name.
func TestPlatformFaultsRequest(t *testing.T) {
	p := NewPlatform()
	tests := []struct {
		body string
		code int
		want PlatformFaults
	}{
		{`{"lose_writes": 2}`, http.StatusOK, PlatformFaults{LoseWrites: 2}},
		{`{"delay": "5ms"}`, http.StatusOK, PlatformFaults{LoseWrites: 2, Delay: "5ms"}},
		{`{"lost_writes": 2}`, http.StatusBadRequest, PlatformFaults{LoseWrites: 2, Delay: "5ms"}},
		{`{"delay": "5"}`, http.StatusBadRequest, PlatformFaults{LoseWrites: 2, Delay: "5ms"}},
		{`{"refuse_reads": -1}`, http.StatusBadRequest, PlatformFaults{LoseWrites: 2, Delay: "5ms"}},
	}
	for _, tt := range tests {
		w := httptest.NewRecorder()
		p.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/faults", bytes.NewBufferString(tt.body)))
		if w.Code != tt.code || p.Faults() != tt.want {
			t.Errorf("POST /v1/faults %s: %d, %+v, want %d, %+v", tt.body, w.Code, p.Faults(), tt.code, tt.want)
		}
	}
}

// TestPlatformLateWrite guards against an emulated platform that drops a delayed write when its client has gone. The real
// platform applies it, and proofs about late writes depend on that.
func TestPlatformLateWrite(t *testing.T) {
	ctx := context.Background()
	p := NewPlatform()
	server := httptest.NewServer(p)
	defer server.Close()
	client, err := platform.NewClient(server.URL, platform.WithTimeout(50*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if err := p.SetFaults(PlatformFaults{Delay: "200ms"}); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(30 * time.Second)
	// On a busy machine the timeout may expire before the write is sent; then it is sent again.
	for platform.KindOf(err) != platform.KindUnknownOutcome {
		if _, err = client.Commit(ctx, platform.NewTransaction().Put("k", nil).Build()); err == nil || time.Now().After(deadline) {
			t.Fatalf("Commit() = %v, want kind unknown_outcome", err)
		}
	}
	for {
		if _, ok := p.table.get("k"); ok {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the late write did not take effect")
		}
		time.Sleep(time.Millisecond)
	}
}
