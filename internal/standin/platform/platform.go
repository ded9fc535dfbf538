// Package platform simulates the object API and the VM list of the platform,
// with the faults of the real one.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lovageport.example/internal/protocol/object"
)

// Faults selects the faults that the platform injects. The zero value selects
// none.
type Faults struct {
	// Down makes every call fail before it takes effect.
	Down bool
	// VMListDown makes reads of the VM list fail.
	VMListDown bool
	// Hang leaves every call unanswered until the caller cancels it.
	Hang bool
	// Delay is the time that every call waits first.
	Delay time.Duration
	// DropResponse is called for each write that took effect. If it returns
	// true, the connection is aborted in place of a response.
	DropResponse func(method, key string) bool
	// StaleReads makes reads return the version before the current one.
	StaleReads bool
	// HideChanges makes watches see no changes until they time out.
	HideChanges bool
}

// storedObject is an object and the version before it, if any.
type storedObject struct {
	object.Object
	previous *object.Object
}

// Platform is a simulated platform. Its zero value is empty and ready to use.
type Platform struct {
	// Credential is the bearer token that callers must send. If it is empty,
	// none is needed.
	Credential string

	mu sync.Mutex
	// The fields below are guarded by mu.
	objects map[string]storedObject
	version int64
	changed chan struct{}
	faults  Faults
	vms     []object.VM
	calls   map[string]int
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetVMs replaces the VM list.
func (p *Platform) SetVMs(vms []object.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = vms
}

// CallCounts returns the number of calls by HTTP method, with watches under
// WATCH.
func (p *Platform) CallCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]int, len(p.calls))
	for method, n := range p.calls {
		counts[method] = n
	}
	return counts
}

// Objects returns the stored objects by key.
func (p *Platform) Objects() map[string]object.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]object.Object, len(p.objects))
	for key, s := range p.objects {
		all[key] = s.Object
	}
	return all
}

// Restore puts objects back to earlier values, with new versions.
func (p *Platform) Restore(all map[string]object.Object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, o := range all {
		p.version++
		o.Version = p.version
		p.objects[key] = storedObject{Object: o}
	}
	p.wakeWatches()
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	faults := p.countCall(r)
	if faults.Hang {
		// The server notices that the client has gone only once the body has
		// been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	if faults.Delay > 0 && !sleep(r, faults.Delay) {
		return
	}
	if faults.Down || faults.VMListDown && r.URL.Path == object.VMsPath {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if p.Credential != "" && r.Header.Get("Authorization") != "Bearer "+p.Credential {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	key, isObject := strings.CutPrefix(r.URL.Path, object.ObjectsPath)
	switch {
	case r.URL.Path == object.VMsPath:
		p.serveVMs(w)
	case r.URL.Path == object.WatchPath:
		p.serveWatch(w, r)
	case isObject && key == "":
		p.serveList(w, r)
	case isObject && r.Method == http.MethodGet:
		p.serveGet(w, key)
	case isObject && r.Method == http.MethodPut:
		p.servePut(w, r, key)
	case isObject && r.Method == http.MethodDelete:
		p.serveDelete(w, r, key)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (p *Platform) countCall(r *http.Request) Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls == nil {
		p.calls = make(map[string]int)
	}
	name := r.Method
	if r.URL.Path == object.WatchPath {
		name = "WATCH"
	}
	p.calls[name]++
	return p.faults
}

// sleep waits for d. It reports false if the caller has given up.
func sleep(r *http.Request, d time.Duration) bool {
	timer, cancel := context.WithTimeout(r.Context(), d)
	defer cancel()
	<-timer.Done()
	return r.Context().Err() == nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(body)
}

func (p *Platform) serveVMs(w http.ResponseWriter) {
	p.mu.Lock()
	list := object.VMList{VMs: slices.Clone(p.vms)}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	keys := []string{}
	p.mu.Lock()
	for key := range p.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	p.mu.Unlock()
	slices.Sort(keys)
	writeJSON(w, http.StatusOK, keys)
}

// readObject returns the object that a read sees, and whether there is one.
func (p *Platform) readObject(key string) (object.Object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.objects[key]
	if ok && p.faults.StaleReads {
		if found.previous == nil {
			return object.Object{}, false
		}
		return *found.previous, true
	}
	return found.Object, ok
}

func (p *Platform) serveGet(w http.ResponseWriter, key string) {
	found, ok := p.readObject(key)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, found)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(io.LimitReader(r.Body, object.MaxValueBytes+1))
	ifVersion, parseErr := strconv.ParseInt(r.URL.Query().Get("ifVersion"), 10, 64)
	if err != nil || parseErr != nil || len(value) > object.MaxValueBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	version, current := p.putIfVersion(key, value, ifVersion)
	if version == 0 {
		writeJSON(w, http.StatusPreconditionFailed, object.Conflict{Version: current})
		return
	}
	p.maybeDropResponse(r.Method, key)
	writeJSON(w, http.StatusOK, object.Object{Key: key, Version: version})
}

// putIfVersion stores a value if the current version is ifVersion, which is 0
// for a new object. It returns the new version, or else 0 and the current
// one.
func (p *Platform) putIfVersion(key string, value []byte, ifVersion int64) (version, current int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.objects[key]
	if found.Version != ifVersion {
		return 0, found.Version
	}
	if p.objects == nil {
		p.objects = make(map[string]storedObject)
	}
	next := storedObject{}
	if ok {
		previous := found.Object
		next.previous = &previous
	}
	p.version++
	next.Object = object.Object{Key: key, Version: p.version, Value: value}
	p.objects[key] = next
	p.wakeWatches()
	return p.version, 0
}

// wakeWatches makes waiting watches check again. The caller holds mu.
func (p *Platform) wakeWatches() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// maybeDropResponse aborts the connection if DropResponse says so.
func (p *Platform) maybeDropResponse(method, key string) {
	p.mu.Lock()
	drop := p.faults.DropResponse
	p.mu.Unlock()
	if drop != nil && drop(method, key) {
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request, key string) {
	ifVersion, err := strconv.ParseInt(r.URL.Query().Get("ifVersion"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	current := p.objects[key].Version
	if current == ifVersion {
		delete(p.objects, key)
	}
	p.mu.Unlock()
	if current != ifVersion {
		writeJSON(w, http.StatusPreconditionFailed, object.Conflict{Version: current})
		return
	}
	p.maybeDropResponse(r.Method, key)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMillis, waitErr := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer, cancel := context.WithTimeout(r.Context(), time.Duration(waitMillis)*time.Millisecond)
	defer cancel()
	for {
		p.mu.Lock()
		found, ok := p.objects[query.Get("key")]
		if p.changed == nil {
			p.changed = make(chan struct{})
		}
		changed, hidden := p.changed, p.faults.HideChanges
		p.mu.Unlock()
		if ok && found.Version > after && !hidden {
			writeJSON(w, http.StatusOK, found.Object)
			return
		}
		select {
		case <-timer.Done():
			if r.Context().Err() == nil {
				w.WriteHeader(http.StatusNotFound)
			}
			return
		case <-changed:
		}
	}
}
