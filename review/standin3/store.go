package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	maxPageRows = 500
	maxFeedWait = 30 * time.Second
)

// A row is a row of the store in its encoded form.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// A transaction is the body of a call of rows-tx.
type transaction struct {
	Expect  []row `json:"expect"`
	Writes  []row `json:"writes"`
	Deletes []row `json:"deletes"`
}

// rowsAnswer is the body of each answer with rows.
type rowsAnswer struct {
	Rows    []row   `json:"rows"`
	HasMore bool    `json:"has_more"`
	Version uint64  `json:"ver"`
	Clock   float64 `json:"now_s"`
}

// A store is a stand-in of the platform's store. It keeps all rows in memory, deleted ones as marks.
type store struct {
	start    time.Time
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	rows    map[rowKey]row // Guarded by mu.
	version uint64         // Guarded by mu.
	changed chan struct{}  // Guarded by mu; closed and replaced with each change.
	down    bool           // Guarded by mu; every call of a node gets 503.
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{start: time.Now(), listener: l, rows: map[rowKey]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /baobabdale/rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /baobabdale/rows-get", s.serveRows)
	mux.HandleFunc("GET /baobabdale/rows-feed", s.serveFeed)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// setDown makes the store refuse all calls of nodes, or serve them again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Writes: []row{{Table: table, Key: key, Value: data}}})
	return nil
}

// apply carries out a transaction. mu must be held.
func (s *store) apply(t transaction) {
	s.version++
	for _, w := range t.Writes {
		w.Version, w.Deleted = s.version, false
		s.rows[rowKey{w.Table, w.Part, w.Key}] = w
	}
	for _, d := range t.Deletes {
		k := rowKey{d.Table, d.Part, d.Key}
		if old, ok := s.rows[k]; ok && !old.Deleted {
			s.rows[k] = row{Table: d.Table, Part: d.Part, Key: d.Key, Version: s.version, Deleted: true}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer returns an answer with rows. mu must be held.
func (s *store) answer(rows []row) rowsAnswer {
	if rows == nil {
		rows = []row{}
	}
	return rowsAnswer{Rows: rows, Version: s.version, Clock: time.Since(s.start).Seconds() + 1}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, v := range slices.Concat(t.Writes, t.Deletes) {
		if v.Table == "op" || v.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	var current []row
	conflict := false
	for _, e := range t.Expect {
		found, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if !ok || found.Deleted {
			found = row{Table: e.Table, Part: e.Part, Key: e.Key}
		}
		current = append(current, found)
		conflict = conflict || found.Version != e.Version
	}
	status := http.StatusPreconditionFailed
	if !conflict {
		status, current = http.StatusOK, nil
		if len(t.Writes)+len(t.Deletes) > 0 {
			s.apply(t)
		}
	}
	a := s.answer(current)
	s.mu.Unlock()
	writeJSON(w, status, a)
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	rows := s.selectRows(q)
	a := s.answer(rows[:min(limit, len(rows))])
	a.HasMore = len(rows) > limit
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, a)
}

// selectRows returns the rows that a call of rows-get asks for, by key. mu must be held.
func (s *store) selectRows(q url.Values) []row {
	var rows []row
	for k, v := range s.rows {
		if k.table != q.Get("table") || k.part != q.Get("part") || v.Deleted || k.key < q.Get("from") {
			continue
		}
		if before := q.Get("target"); before != "" && k.key >= before {
			continue
		}
		rows = append(rows, v)
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	return rows
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		var rows []row
		for k, v := range s.rows {
			if k.table == q.Get("table") && v.Version > after {
				rows = append(rows, v)
			}
		}
		slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Version, b.Version) })
		a, changed := s.answer(rows), s.changed
		s.mu.Unlock()
		if len(rows) > 0 || expired {
			writeJSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
