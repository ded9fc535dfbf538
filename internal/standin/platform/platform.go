// Package platform is a stand-in for the platform's object API and VM list,
// with the faults that the real one has.
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

// Faults are what goes wrong. The zero value is a platform in good order.
type Faults struct {
	// Down has every call fail before it takes effect.
	Down bool
	// VMListDown has the reading of the VM list fail.
	VMListDown bool
	// Hang has every call wait until its caller gives up.
	Hang bool
	// Delay slows every call.
	Delay time.Duration
	// DropResponse is asked about each write that took effect; if it says true,
	// the connection breaks instead of the answer.
	DropResponse func(method, key string) bool
	// StaleReads has reads answer with the version before the present one.
	StaleReads bool
	// HangWatches has watches never answer.
	HangWatches bool
}

// stored is an object with its version before.
type stored struct {
	object.Object
	previous *object.Object
}

// Platform is the stand-in. Its zero value is empty and ready to use.
type Platform struct {
	// Credential is what callers must send; any if empty.
	Credential string

	mu sync.Mutex
	// All below is guarded by mu.
	objects map[string]stored
	version int64
	changed chan struct{}
	faults  Faults
	vms     []object.VM
	calls   map[string]int
}

// SetFaults sets what goes wrong from now on.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetVMs sets the VM list.
func (p *Platform) SetVMs(vms []object.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = vms
}

// CallCounts returns how many calls of each method there were; a watch counts as
// one.
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

// Restore puts objects back as they were at an earlier time.
func (p *Platform) Restore(all map[string]object.Object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, o := range all {
		p.version++
		o.Version = p.version
		p.objects[key] = stored{Object: o}
	}
	p.wake()
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	faults := p.count(r)
	if faults.Hang {
		// The server notices that a caller has gone only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	if faults.Delay > 0 && !pause(r, faults.Delay) {
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

func (p *Platform) count(r *http.Request) Faults {
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

// pause waits. It says false if the caller gave up first.
func pause(r *http.Request, d time.Duration) bool {
	timer, cancel := context.WithTimeout(r.Context(), d)
	defer cancel()
	<-timer.Done()
	return r.Context().Err() == nil
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone is nobody to report to.
	_ = json.NewEncoder(w).Encode(body)
}

func (p *Platform) serveVMs(w http.ResponseWriter) {
	p.mu.Lock()
	list := object.VMList{VMs: slices.Clone(p.vms)}
	p.mu.Unlock()
	reply(w, http.StatusOK, list)
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
	reply(w, http.StatusOK, keys)
}

// read returns what a read sees.
func (p *Platform) read(key string) (object.Object, bool) {
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
	found, ok := p.read(key)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, found)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(io.LimitReader(r.Body, object.MaxValueBytes+1))
	ifVersion, parseErr := strconv.ParseInt(r.URL.Query().Get("ifVersion"), 10, 64)
	if err != nil || parseErr != nil || len(value) > object.MaxValueBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	version, present := p.write(key, value, ifVersion)
	if version == 0 {
		reply(w, http.StatusPreconditionFailed, object.Conflict{Version: present})
		return
	}
	p.loseAnswer(r.Method, key)
	reply(w, http.StatusOK, object.Object{Key: key, Version: version})
}

// write stores a value if the present version is ifVersion. It returns the new
// version, or 0 and the present one.
func (p *Platform) write(key string, value []byte, ifVersion int64) (version, present int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.objects[key]
	if found.Version != ifVersion {
		return 0, found.Version
	}
	if p.objects == nil {
		p.objects = make(map[string]stored)
	}
	next := stored{}
	if ok {
		previous := found.Object
		next.previous = &previous
	}
	p.version++
	next.Object = object.Object{Key: key, Version: p.version, Value: value}
	p.objects[key] = next
	p.wake()
	return p.version, 0
}

// wake lets the watches look again. The caller holds mu.
func (p *Platform) wake() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

func (p *Platform) loseAnswer(method, key string) {
	p.mu.Lock()
	lose := p.faults.DropResponse
	p.mu.Unlock()
	if lose != nil && lose(method, key) {
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
	present := p.objects[key].Version
	if present == ifVersion {
		delete(p.objects, key)
	}
	p.mu.Unlock()
	if present != ifVersion {
		reply(w, http.StatusPreconditionFailed, object.Conflict{Version: present})
		return
	}
	p.loseAnswer(r.Method, key)
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
		changed, silent := p.changed, p.faults.HangWatches
		p.mu.Unlock()
		if ok && found.Version > after && !silent {
			reply(w, http.StatusOK, found.Object)
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
