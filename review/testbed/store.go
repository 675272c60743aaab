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

// A row is the encoded form of a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// transaction is the body of a rows-tx call.
type transaction struct {
	Expect  []row `json:"expect"`
	Writes  []row `json:"writes"`
	Deletes []row `json:"deletes"`
}

// rowsResponse is the body of a response with rows.
type rowsResponse struct {
	Rows    []row   `json:"rows"`
	HasMore bool    `json:"has_more"`
	Version uint64  `json:"ver"`
	Now     float64 `json:"now_s"`
}

// storeDelay is the time of an answer of the store.
const storeDelay = 4 * time.Millisecond

// A store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	server *http.Server
	start  time.Time
	record *record

	mu      sync.Mutex
	changed chan struct{}   // Guarded by mu; closed and replaced at each change.
	version uint64          // Guarded by mu.
	rows    map[string]row  // Guarded by mu; by table, part and key, with deleted rows.
	objects map[string]bool // Guarded by mu.
	silent  map[string]bool // Guarded by mu; addresses at which calls that arrive get no response.
	waiting map[string]int  // Guarded by mu; calls that wait for changes, by address.
}

func newStore(r *record) *store {
	s := &store{
		start: time.Now(), record: r, changed: make(chan struct{}), rows: map[string]row{}, objects: map[string]bool{},
		silent: map[string]bool{}, waiting: map[string]int{},
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	return s
}

// listen opens another address of the store. Each node has one, so that its calls can be told from those of others.
func (s *store) listen(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = s.server.Serve(l) }()
	return l.Addr().String(), nil
}

func (s *store) close() { _ = s.server.Close() }

// setSilent starts or ends an outage for a node, in which calls that arrive get no response.
func (s *store) setSilent(address string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[address] = silent
}

// watched reports whether a node waits for changes.
func (s *store) watched(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting[address] > 0
}

func (s *store) addWaiting(address string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[address] += n
}

// put writes a row as the operator does. The change is acknowledged when it returns.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowID(table, "", key)] = row{Table: table, Key: key, Value: value, Version: s.version}
	s.notify()
}

// notify wakes the calls that wait for changes. It requires mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func rowID(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	address := localAddress(r)
	s.mu.Lock()
	silent := s.silent[address]
	s.mu.Unlock()
	if silent {
		s.record.write("store gives no response to %s %s at %s", r.Method, r.URL.RequestURI(), address)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(storeDelay)
	switch path := strings.TrimPrefix(r.URL.Path, "/baobabdale/"); {
	case path == "rows-tx":
		s.serveTransaction(w, body)
	case path == "rows-get":
		s.serveGet(w, r)
	case path == "rows-feed":
		s.addWaiting(address, 1)
		s.serveFeed(w, r)
		s.addWaiting(address, -1)
	case strings.HasPrefix(path, "blob-put/"):
		s.servePutObject(w, r, strings.TrimPrefix(path, "blob-put/"))
	default:
		http.NotFound(w, r)
	}
}

// localAddress returns the address of the store at which a call arrived.
func localAddress(r *http.Request) string {
	a, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return ""
	}
	return a.String()
}

func (s *store) serveTransaction(w http.ResponseWriter, body []byte) {
	var t transaction
	if err := json.Unmarshal(body, &t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, response := http.StatusOK, s.emptyResponse()
	for _, e := range t.Expect {
		current := s.rows[rowID(e.Table, e.Part, e.Key)]
		if current.Deleted {
			current = row{}
		}
		if current.Version != e.Version {
			status = http.StatusPreconditionFailed
		}
		if current.Version > 0 {
			response.Rows = append(response.Rows, current)
		}
	}
	if status != http.StatusOK {
		writeJSON(w, status, response)
		return
	}
	if len(t.Writes)+len(t.Deletes) > 0 {
		s.version++
	}
	for _, v := range t.Writes {
		v.Version = s.version
		s.rows[rowID(v.Table, v.Part, v.Key)] = v
	}
	for _, v := range t.Deletes {
		v.Version, v.Deleted = s.version, true
		s.rows[rowID(v.Table, v.Part, v.Key)] = v
	}
	s.notify()
	writeJSON(w, http.StatusOK, s.emptyResponse())
}

// emptyResponse returns a response without rows. It requires mu.
func (s *store) emptyResponse() rowsResponse {
	return rowsResponse{Rows: []row{}, Version: s.version, Now: time.Since(s.start).Seconds()}
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	response := s.emptyResponse()
	for _, v := range s.rows {
		if v.Table == q.Get("table") && v.Part == q.Get("part") && !v.Deleted && v.Key >= q.Get("from") &&
			(q.Get("target") == "" || v.Key < q.Get("target")) {
			response.Rows = append(response.Rows, v)
		}
	}
	slices.SortFunc(response.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if len(response.Rows) > limit {
		response.Rows, response.HasMore = response.Rows[:limit], true
	}
	writeJSON(w, http.StatusOK, response)
}

// serveFeed returns the changed rows as soon as there is one, or none when the time to wait has passed.
func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		response, changed := s.emptyResponse(), s.changed
		for _, v := range s.rows {
			if v.Table == q.Get("table") && v.Version > after {
				response.Rows = append(response.Rows, v)
			}
		}
		s.mu.Unlock()
		slices.SortFunc(response.Rows, func(a, b row) int { return int(int64(a.Version) - int64(b.Version)) })
		if len(response.Rows) > 0 {
			writeJSON(w, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, response)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) servePutObject(w http.ResponseWriter, r *http.Request, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[id] && r.Header.Get("If-None-Match") == "*" {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.objects[id] = true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
