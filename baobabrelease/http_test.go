package baobabrelease

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	emulator "github.com/baobabdale/baobabdale/baobabemulator"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

// TestAcceptOverHTTP guards against an accept that works only on the in-memory store: here the responses to the object
// write and to the transaction are lost on real connections, and the platform goes down and comes back.
func TestAcceptOverHTTP(t *testing.T) {
	ctx := context.Background()
	p := emulator.NewPlatform()
	server := httptest.NewServer(p)
	defer server.Close()
	client, err := platform.NewClient(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	store := &hookedStore{Store: client}
	r := NewRepository(store, WithRetryDelays(time.Millisecond, time.Millisecond, time.Millisecond))
	mustSetEdit(t, r, "service", "a", `{}`, 0)
	if err := p.SetFaults(emulator.PlatformFaults{Down: true}); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Accept(ctx, acceptTime, "one", anyDigest); KindOf(err) != KindUnavailable {
		t.Errorf("Accept() while the platform is down = %v, want kind unavailable", err)
	}
	if err := p.SetFaults(emulator.PlatformFaults{LoseWrites: 2}); err != nil {
		t.Fatal(err)
	}
	store.beforeHeadCommit = func() {
		if err := p.SetFaults(emulator.PlatformFaults{LoseWrites: 2}); err != nil {
			t.Error(err)
		}
	}
	if s := mustAccept(t, r, "one"); s.Version().Number() != 1 {
		t.Errorf("Accept() = %s, want version 1", s.Version())
	}
	checkHead(t, r, 1, "one")
}
