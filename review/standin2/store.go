package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A row is a row of the platform's store as its API shows it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// A store is a stand-in of the platform's store. It keeps its whole history.
type store struct {
	server  *http.Server
	address string
	started time.Time

	mu      sync.Mutex
	version uint64            // Guarded by mu.
	rows    map[string]row    // Guarded by mu; by table, part and key.
	changed chan struct{}     // Guarded by mu; closed and replaced at each change.
	blobs   map[string][]byte // Guarded by mu.
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), started: time.Now(), rows: map[string]row{}, changed: make(chan struct{}),
		blobs: map[string][]byte{},
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes a row like the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: value})
	s.wake()
}

func (s *store) set(r row) {
	r.Version = s.version
	s.rows[r.name()] = r
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // The store's time for an answer.
	switch {
	case r.URL.Path == "/baobabdale/rows-tx":
		s.serveTransaction(w, r)
	case r.URL.Path == "/baobabdale/rows-get":
		s.serveRows(w, r)
	case r.URL.Path == "/baobabdale/rows-feed":
		s.serveFeed(w, r)
	case strings.HasPrefix(r.URL.Path, "/baobabdale/blob-"):
		s.serveBlob(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect, Writes, Deletes []row
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	holds := true
	for _, e := range t.Expect {
		now, ok := s.rows[e.name()]
		if !ok || now.Deleted {
			now = row{Table: e.Table, Part: e.Part, Key: e.Key}
		}
		holds = holds && now.Version == e.Version
		current = append(current, now)
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	if len(t.Writes)+len(t.Deletes) > 0 {
		s.version++
		for _, v := range t.Writes {
			s.set(v)
		}
		for _, v := range t.Deletes {
			s.set(row{Table: v.Table, Part: v.Part, Key: v.Key, Deleted: true})
		}
		s.wake()
	}
	s.answer(w, http.StatusOK, []row{}, false)
}

// answer writes a response with rows. It requires mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": more, "ver": s.version, "now_s": time.Since(s.started).Seconds() + 1,
	})
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for _, v := range s.rows {
		if v.Table == q.Get("table") && v.Part == q.Get("part") && !v.Deleted && v.Key >= q.Get("from") &&
			(q.Get("target") == "" || v.Key < q.Get("target")) {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, list[:min(limit, len(list))], len(list) > limit)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		list := []row{}
		for _, v := range s.rows {
			if v.Table == q.Get("table") && v.Version > after {
				list = append(list, v)
			}
		}
		if len(list) > 0 || expired {
			slices.SortFunc(list, func(a, b row) int { return int(a.Version) - int(b.Version) })
			s.answer(w, http.StatusOK, list, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveBlob(w http.ResponseWriter, r *http.Request) {
	call, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/baobabdale/blob-"), "/")
	data, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, ok := s.blobs[id]
	switch {
	case call == "put" && ok && r.Header.Get("If-None-Match") == "*":
		w.WriteHeader(http.StatusPreconditionFailed)
	case call == "put":
		s.blobs[id] = data
	case call == "drop":
		delete(s.blobs, id)
	case call == "get" && ok:
		_, _ = w.Write(stored)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}
