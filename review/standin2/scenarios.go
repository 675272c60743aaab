package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// beat is the interval between heartbeats.
	beat = 870 * time.Millisecond
	// lostShare is the share of the answers that are lost.
	lostShare = 0.3
	host      = "hulo84.example"
	// touchAfter is the bound stable_window_s: so long after its start a machine is in touch.
	touchAfter = 3 * time.Second
	// lateBy is how late a heartbeat arrives.
	lateBy = 2600 * time.Millisecond
	// drainLimit is the bound drain_s.
	drainLimit = 2 * time.Second
)

// A routeSpec is one route of the operator's configuration.
type routeSpec struct {
	name, kind, prefix, service string
	target                      float64
	attempts                    int
}

// configure writes a version of the configuration like the operator does.
func (d *deployment) configure(version int, routes []routeSpec) {
	var rules, clusters []any
	seen := map[string]bool{}
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": r.name, "kind": r.kind, "target_latency_s": r.target, "priority": 1, "match": map[string]any{"prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout_s": 1, "max_attempts": r.attempts},
		})
		if !seen[r.service] {
			seen[r.service] = true
			clusters = append(clusters, map[string]any{
				"name": r.service, "health_path": "/healthz", "max_connections": 120, "protocol": "h1", "tls": false,
			})
		}
	}
	data, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15,
		},
		"listeners": []any{map[string]any{"host": host, "rules": rules}}, "clusters": clusters,
	})
	d.store.put("op", "config", data)
	d.rec.say("configuration %d acknowledged", version)
}

// startAll starts the processes of all machines.
func (d *deployment) startAll() error {
	for _, n := range d.nodes {
		if err := d.start(n); err != nil {
			return err
		}
	}
	return nil
}

// readyBackends starts a backend beside each machine that announces itself as ready.
func readyBackends(d *deployment, slots int, work time.Duration) ([]*backend, error) {
	var list []*backend
	for i, n := range d.nodes {
		b := newBackend(n, fmt.Sprintf("i-%04x", i+1), slots, work, d.rec)
		if err := b.listen(); err != nil {
			return nil, err
		}
		list = append(list, b)
	}
	return list, nil
}

// awaitServed waits until n requests in a row are served at each machine.
func (d *deployment) awaitServed(c *client, target string, row int, limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, n := range d.nodes {
		for served := 0; served < row; {
			if time.Now().After(until) {
				return fmt.Errorf("%s does not serve %s", n.name, target)
			}
			if c.do(n, http.MethodGet, host, target, time.Second, "").whole {
				served++
				continue
			}
			served = 0
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// traffic sends requests at a rate, to the machines in turn, until the returned function is called.
func traffic(d *deployment, perSecond int, send func(n *node)) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-ticker.C:
				n := d.nodes[i%len(d.nodes)]
				wg.Go(func() { send(n) })
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// A drainWatch counts the requests that reach a backend later than drain_s after its leaving was acknowledged, while all
// machines are in touch.
type drainWatch struct {
	acknowledged atomic.Int64 // Since the start of the case; 0: not yet.
	inTouch      atomic.Int64 // Since the start of the case; from then on all machines are in touch.
	late         atomic.Int64
}

func (w *drainWatch) observe(b *backend) {
	b.onRun = func(r *http.Request) bool {
		at := time.Duration(w.acknowledged.Load())
		if now := b.rec.now(); at > 0 && now > at+drainLimit && now > time.Duration(w.inTouch.Load()) {
			w.late.Add(1)
			b.rec.write("LATE: %s gets %s %.3f s after its leaving was acknowledged", b.id,
				r.Header.Get("X-Baobabdale-Request-Id"), (now - at).Seconds())
		}
		return false
	}
}

// drainMesh starts two machines of one service. The second one's backend is returned without heartbeats.
func drainMesh(k *recordedCase) (d *deployment, x *backend, stop func(), err error) {
	if d, err = newDeployment(k.rec, 2); err != nil {
		return nil, nil, nil, err
	}
	d.addNode("sidecar-sul-a-1", "sul-a", "orcamentos")
	d.addNode("sidecar-sul-b-1", "sul-b", "orcamentos")
	d.configure(1, []routeSpec{{"r-1", "safe", "/quotes/", "orcamentos", 0.4, 2}})
	backends, err := readyBackends(d, 18, 20*time.Millisecond)
	if err == nil {
		err = d.startAll()
	}
	if err == nil {
		err = d.awaitReady(10 * time.Second)
	}
	if err != nil {
		d.close()
		return nil, nil, nil, err
	}
	return d, backends[1], backends[0].announce("ready", beat), nil
}

// lateHeartbeat: a backend leaves, all processes are killed, and a heartbeat from before the leaving arrives late.
func lateHeartbeat(k *recordedCase) (bool, error) {
	d, x, stop, err := drainMesh(k)
	if err != nil {
		return false, err
	}
	defer d.close()
	defer stop()
	x.sequence.Store(1)
	ready := x.announce("ready", beat)
	c := newClient(k.rec)
	if err := d.awaitServed(c, "/quotes/2f", 5, 10*time.Second); err != nil {
		return false, err
	}
	var watch drainWatch
	watch.observe(x)
	defer traffic(d, 100, func(n *node) { c.do(n, http.MethodGet, host, "/quotes/2f", time.Second, "") })()
	time.Sleep(touchAfter)
	ready()
	late, lateSent := x.heartbeat("ready"), k.rec.now()
	x.leaving.Store(true)
	if !x.leave() {
		return false, fmt.Errorf("the leaving was not acknowledged")
	}
	watch.acknowledged.Store(int64(k.rec.now()))
	k.rec.say("the leaving of %s was acknowledged", x.id)
	time.Sleep(300 * time.Millisecond)
	if k.trouble {
		watch.inTouch.Store(int64(time.Hour))
		d.killProcesses()
		k.rec.say("all processes of the system were killed")
		time.Sleep(500 * time.Millisecond)
		if err := d.startAll(); err != nil {
			return false, err
		}
		if err := d.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
		watch.inTouch.Store(int64(k.rec.now() + touchAfter))
	}
	time.Sleep(lateSent + lateBy - k.rec.now())
	k.rec.say("the last heartbeat of %s before its leaving arrives %s late", x.id, lateBy)
	x.send(late)
	time.Sleep(7 * time.Second)
	k.rec.say("%d requests reached %s later than %s after the acknowledgement, all machines in touch", watch.late.Load(), x.id,
		drainLimit)
	return watch.late.Load() > 0, nil
}

// lostAnswers: the answers of two of three backends are lost for four seconds. On a route that was added later, all clients ask
// for the same page.
func lostAnswers(k *recordedCase) (bool, error) {
	const loss, judged = 4 * time.Second, 30 * time.Second
	d, err := newDeployment(k.rec, 3)
	if err != nil {
		return false, err
	}
	defer d.close()
	for _, z := range []string{"sul-a", "sul-b", "sul-c"} {
		d.addNode("sidecar-"+z+"-1", z, "orcamentos")
	}
	first := routeSpec{"r-1", "safe", "/quotes/", "orcamentos", 0.4, 2}
	d.configure(1, []routeSpec{first})
	backends, err := readyBackends(d, 18, 120*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	for i, b := range backends {
		b.sequence.Store(1)
		if i < 2 {
			b.onRun = func(*http.Request) bool { return k.losing.Load() && rand.Float64() < lostShare }
		}
		defer b.announce("ready", beat)()
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	c := newClient(k.rec)
	if err := d.awaitServed(c, "/quotes/2f", 5, 10*time.Second); err != nil {
		return false, err
	}
	d.configure(2, []routeSpec{first, {"r-2", "safe", "/prices/", "orcamentos", 0.4, 2}})
	time.Sleep(touchAfter)
	var mu sync.Mutex
	outcomes := map[bool][]outcome{} // By whether the route was added later.
	ask := func(n *node, target string, added bool) {
		o := c.do(n, http.MethodGet, host, target, time.Second, "")
		mu.Lock()
		defer mu.Unlock()
		outcomes[added] = append(outcomes[added], o)
	}
	stopFirst := traffic(d, 60, func(n *node) { ask(n, fmt.Sprintf("/quotes/%06x", rand.IntN(1<<24)), false) })
	stopAdded := traffic(d, 60, func(n *node) { ask(n, "/prices/today", true) })
	time.Sleep(touchAfter)
	if k.trouble {
		k.rec.say("answers are lost from now on")
		k.losing.Store(true)
	}
	time.Sleep(loss)
	k.losing.Store(false)
	k.rec.say("no answers are lost any more")
	time.Sleep(touchAfter)
	steady := k.rec.now()
	time.Sleep(judged)
	stopFirst()
	stopAdded()
	share := map[bool]float64{}
	for added, list := range outcomes {
		asked, served := 0, 0
		for _, o := range list {
			if o.at >= steady && o.at < steady+judged {
				asked++
				if o.whole {
					served++
				}
			}
		}
		k.rec.say("steady state, route added later: %t: %d of %d requests were served", added, served, asked)
		share[added] = float64(served) / float64(max(asked, 1))
	}
	return share[true] < share[false]/4, nil
}

// closeTargets: a route is added whose target differs from that of another one by less than a millisecond.
func closeTargets(k *recordedCase) (bool, error) {
	const applyLimit = 2 * time.Second
	d, err := newDeployment(k.rec, 2)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.addNode("sidecar-sul-a-1", "sul-a", "orcamentos")
	d.addNode("sidecar-sul-b-1", "sul-b", "orcamentos")
	old := routeSpec{"r-1", "safe", "/quotes/", "orcamentos", 0.1667, 2}
	d.configure(1, []routeSpec{old})
	backends, err := readyBackends(d, 18, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	for _, b := range backends {
		b.sequence.Store(1)
		defer b.announce("ready", beat)()
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	c := newClient(k.rec)
	if err := d.awaitServed(c, "/quotes/2f", 5, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(touchAfter)
	added := routeSpec{"r-2", "safe", "/prices/", "orcamentos", 0.3, 2}
	if k.trouble {
		added.target = 0.16667
	}
	d.configure(2, []routeSpec{old, added})
	time.Sleep(applyLimit)
	refused := 0
	for range 100 {
		for _, n := range d.nodes {
			if c.do(n, http.MethodGet, host, "/prices/2f", time.Second, "").status == http.StatusNotFound {
				refused++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	k.rec.say("%d of 200 requests on the added route were refused with 404 later than %s after the acknowledgement", refused,
		applyLimit)
	return refused > 0, nil
}

// crasher: a request that crashes the backends that run it comes again and again, with the same path, caller and body.
func crasher(k *recordedCase) (bool, error) {
	const tries, pause, backAfter = 24, 1300 * time.Millisecond, 2 * time.Second
	d, err := newDeployment(k.rec, 3)
	if err != nil {
		return false, err
	}
	defer d.close()
	for _, z := range []string{"sul-a", "sul-b", "sul-c"} {
		d.addNode("sidecar-"+z+"-1", z, "orcamentos")
	}
	d.configure(1, []routeSpec{{"r-1", "safe", "/quotes/", "orcamentos", 0.4, 2}})
	if err := d.startAll(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var crashes []time.Duration
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, n := range d.nodes {
		wg.Go(func() {
			liveAndCrash(d, n, k.trouble, done, backAfter, func() {
				mu.Lock()
				defer mu.Unlock()
				crashes = append(crashes, k.rec.now())
			})
		})
	}
	defer wg.Wait()
	defer close(done)
	if err := d.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	c := newClient(k.rec)
	if err := d.awaitServed(c, "/quotes/2f", 5, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(touchAfter)
	for i := range tries {
		target := fmt.Sprintf("/quotes/crash?page=%d&sort=new", i+1)
		c.do(d.nodes[i%len(d.nodes)], http.MethodGet, host, target, time.Second, "")
		time.Sleep(pause)
	}
	mu.Lock()
	defer mu.Unlock()
	later := 0
	for i, at := range crashes {
		if i >= 3 && at > crashes[2]+touchAfter {
			later++
		}
	}
	k.rec.say("%d runs crashed backends, %d of them later than %s after the third", len(crashes), later, touchAfter)
	return later > 3, nil
}

// liveAndCrash keeps a backend beside a machine. Each time that it crashes, another process of it starts after a while.
func liveAndCrash(d *deployment, n *node, crashes bool, done chan struct{}, backAfter time.Duration, crashed func()) {
	for number := 1; ; number++ {
		b := newBackend(n, fmt.Sprintf("i-%s-%d", strings.TrimPrefix(n.name, "sidecar-"), number), 18, 20*time.Millisecond, d.rec)
		b.sequence.Store(1)
		end := make(chan struct{})
		var once sync.Once
		b.crash = true
		b.onRun = func(r *http.Request) bool {
			if !crashes || r.URL.Path != "/quotes/crash" {
				return false
			}
			once.Do(func() {
				d.rec.write("CRASH: %s", b.id)
				crashed()
				close(end)
			})
			return true
		}
		if err := b.listen(); err != nil {
			d.rec.say("%s cannot listen: %v", b.id, err)
			return
		}
		stop := b.announce("ready", beat)
		select {
		case <-done:
		case <-end:
		}
		time.Sleep(10 * time.Millisecond)
		_ = b.server.Close()
		stop()
		select {
		case <-done:
			return
		case <-time.After(backAfter):
		}
	}
}

// foreignHeartbeat: another writer sends heartbeats with missing fields, under the id of a backend, that name another
// service.
func foreignHeartbeat(k *recordedCase) (bool, error) {
	const foreign = 3
	d, err := newDeployment(k.rec, 3)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.addNode("sidecar-sul-a-1", "sul-a", "orcamentos")
	d.addNode("sidecar-sul-b-1", "sul-b", "despacho")
	d.addNode("sidecar-sul-c-1", "sul-c", "despacho")
	d.configure(1, []routeSpec{
		{"r-1", "safe", "/quotes/", "orcamentos", 0.4, 2}, {"r-2", "non_idempotent", "/dispatch/", "despacho", 0.5, 2},
	})
	backends, err := readyBackends(d, 18, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	var wrong atomic.Int64
	for _, b := range backends {
		b.sequence.Store(1)
		b.onRun = func(r *http.Request) bool {
			if strings.HasPrefix(r.URL.Path, "/dispatch/") != (b.node.service == "despacho") {
				wrong.Add(1)
				k.rec.write("WRONG SERVICE: %s of %s runs %s %s", b.id, b.node.service,
					r.Header.Get("X-Baobabdale-Request-Id"), r.RequestURI)
			}
			return false
		}
		defer b.announce("ready", beat)()
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	c := newClient(k.rec)
	if err := d.awaitServed(c, "/quotes/2f", 5, 10*time.Second); err != nil {
		return false, err
	}
	defer traffic(d, 60, func(n *node) { c.do(n, http.MethodPost, host, "/dispatch/2f", 1200*time.Millisecond, "crew 7") })()
	defer traffic(d, 60, func(n *node) { c.do(n, http.MethodGet, host, "/quotes/2f", time.Second, "") })()
	time.Sleep(touchAfter)
	for range foreign {
		if k.trouble {
			x := backends[0]
			data, _ := json.Marshal(map[string]any{
				"service": "despacho", "address": x.node.app, "slots": x.slots, "state": "ready", "sequence": 4,
			})
			k.rec.say("a heartbeat of another writer: %s", data)
			x.send(data)
		}
		time.Sleep(2 * time.Second)
	}
	k.rec.say("%d requests were run by a service to which no configuration sends them", wrong.Load())
	return wrong.Load() > 0, nil
}
