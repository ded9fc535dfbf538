package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store. It answers as PROTOCOL.md
// says: versions, pages in one piece, watches, and revisions that rise with each change.
type store struct {
	address string
	// lag is how old the answers to watches are that allow stale data.
	lag time.Duration

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]*object
	events   []event
	changed  chan struct{}
	// cut is closed to cut off the watches that wait.
	cut chan struct{}
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name     string
	Revision int64
	Created  int64
}

// MarshalJSON implements [json.Marshaler].
func (m metadata) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{"name": m.Name, "revision": m.Revision, wire.Created: m.Created, "finalizers": []string{}, "deleting": false})
}

type event struct {
	Tombstone bool
	Object    object
	kind      string
	at        time.Time
}

// MarshalJSON implements [json.Marshaler].
func (e event) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{wire.Tombstone: e.Tombstone, "object": e.Object})
}

func newStore(address string) (*store, error) {
	s := &store{address: address, revision: 1, objects: make(map[string]map[string]*object), changed: make(chan struct{}), cut: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go (&http.Server{Handler: s}).Serve(l)
	return s, nil
}

// put writes an object and returns when the store has acknowledged it.
func (s *store) put(kind, name string, spec any) time.Time {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text)
	return time.Now()
}

// write is put for callers that hold s.mu.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	s.revision++
	o := s.objects[kind][name]
	if o == nil {
		o = &object{Metadata: metadata{Name: name, Created: s.revision}}
		s.objects[kind][name] = o
	}
	o.Metadata.Revision = s.revision
	o.Spec = spec
	s.events = append(s.events, event{Object: *o, kind: kind, at: time.Now()})
	s.notify()
	return *o
}

// remove deletes an object and returns when the store has acknowledged that.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		return time.Now()
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.events = append(s.events, event{Object: *o, Tombstone: true, kind: kind, at: time.Now()})
	s.notify()
	return time.Now()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// cutWaiting cuts off the watches that wait.
func (s *store) cutWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, wire.ObjectsPath), "/")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && q.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		defer s.mu.Unlock()
		if o := s.objects[kind][name]; o != nil {
			reply(w, http.StatusOK, o)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		w.WriteHeader(http.StatusOK)
	default:
		var in object
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if name == "" {
			name = in.Metadata.Name
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		old := s.objects[kind][name]
		switch {
		case r.Method == http.MethodPost && old != nil:
			reply(w, http.StatusConflict, old)
		case r.Method == http.MethodPut && old == nil:
			w.WriteHeader(http.StatusNotFound)
		default:
			reply(w, http.StatusOK, s.write(kind, name, in.Spec))
		}
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []*object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	slices.SortFunc(items, func(a, b *object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, wire.MorePages: false, wire.CurrentRevision: s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.ParseInt(r.URL.Query().Get(wire.Wait), 10, 64)
	end := time.After(time.Duration(ms) * time.Millisecond)
	var lag time.Duration
	if r.URL.Query().Get(wire.StaleOK) == "1" {
		lag = s.lag
	}
	for over := false; ; {
		s.mu.Lock()
		found, revision := s.since(kind, after, lag)
		changed, cut := s.changed, s.cut
		s.mu.Unlock()
		if len(found) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": found, wire.CurrentRevision: revision})
			return
		}
		select {
		case <-changed:
		case <-time.After(pollInterval):
			// What is old enough by now may be told.
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		case <-cut:
			if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
				conn.Close()
			}
			return
		}
	}
}

// pollInterval is how often a waiting watch looks for changes that are old enough.
const pollInterval = 20 * time.Millisecond

// since returns the events of a kind after a revision that are at least lag old, and the
// revision of the store at that time. The caller holds s.mu.
func (s *store) since(kind string, after int64, lag time.Duration) ([]event, int64) {
	found := []event{}
	for _, e := range s.events {
		if time.Since(e.at) < lag {
			return found, max(after, e.Object.Metadata.Revision-1)
		}
		if e.kind == kind && e.Object.Metadata.Revision > after {
			found = append(found, e)
		}
	}
	return found, s.revision
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
