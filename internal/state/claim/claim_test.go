package claim

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovageport.example/internal/protocol/object"
	"lovageport.example/internal/state/store"
	"lovageport.example/pkg/verdict"
)

// memory is an object store in memory that can lose calls and answers and return
// stale reads.
type memory struct {
	objects map[string]object.Object
	// previous holds the last but one version of each object, for stale reads.
	previous map[string]object.Object
	version  int64
	// nextFault returns the fault of the next call.
	nextFault func() fault
}

// fault is what goes wrong with a call of the store.
type fault int

const (
	noFault fault = iota
	// notSent fails to connect.
	notSent
	// requestLost loses the call before it takes effect.
	requestLost
	// answerLost loses the answer after the call took effect.
	answerLost
	// staleRead returns the previous version.
	staleRead
)

var errLost = errors.New("answer lost")

func (m *memory) api() store.ObjectAPI {
	return store.ObjectAPI{Get: m.get, Put: m.put, Delete: m.remove, Sleep: func(context.Context, time.Duration) error { return nil }}
}

func (m *memory) get(_ context.Context, key string) (object.Object, error) {
	switch m.nextFault() {
	case notSent:
		return object.Object{}, &store.NotSentError{Err: errLost}
	case requestLost, answerLost:
		return object.Object{}, errLost
	case staleRead:
		if o, ok := m.previous[key]; ok {
			return o, nil
		}
		return object.Object{}, store.ErrNotFound
	}
	if o, ok := m.objects[key]; ok {
		return o, nil
	}
	return object.Object{}, store.ErrNotFound
}

func (m *memory) put(_ context.Context, key string, value []byte, ifVersion int64) (int64, error) {
	f := m.nextFault()
	switch f {
	case notSent:
		return 0, &store.NotSentError{Err: errLost}
	case requestLost:
		return 0, errLost
	}
	if present := m.objects[key].Version; present != ifVersion {
		return 0, &store.ConflictError{Version: present}
	}
	if o, ok := m.objects[key]; ok {
		m.previous[key] = o
	}
	m.version++
	m.objects[key] = object.Object{Key: key, Version: m.version, Value: value}
	if f == answerLost {
		return 0, errLost
	}
	return m.version, nil
}

func (m *memory) remove(_ context.Context, key string, ifVersion int64) error {
	if m.objects[key].Version != ifVersion {
		return &store.ConflictError{Version: m.objects[key].Version}
	}
	delete(m.objects, key)
	return nil
}

func newMemory() *memory {
	return &memory{
		objects:   make(map[string]object.Object),
		previous:  make(map[string]object.Object),
		nextFault: func() fault { return noFault },
	}
}

// newManagers returns the managers of n entries that share one store.
func newManagers(m *memory, n int, now func() time.Time) []*Manager {
	nonce := 0
	all := make([]*Manager, n)
	for i := range all {
		all[i] = &Manager{
			Objects: m.api(), Entry: fmt.Sprint(i), Now: now,
			Nonce: func() string { nonce++; return fmt.Sprint("n", nonce) },
		}
	}
	return all
}

var noon = time.Date(2026, 2, 14, 12, 0, 0, 0, time.UTC)

const (
	window  = 5 * time.Second
	timeout = 3 * time.Second
)

func TestAcquireAnswersByState(t *testing.T) {
	ctx := context.Background()
	clock := noon
	m := newMemory()
	all := newManagers(m, 2, func() time.Time { return clock })
	held, _, err := all[0].Acquire(ctx, "k", "h", window, timeout)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, held.MaySend(), qt.IsTrue)

	_, _, err = all[1].Acquire(ctx, "k", "h", window, timeout)
	qt.Check(t, verdict.Of(err).Reason, qt.Equals, verdict.ClaimHeld)
	qt.Check(t, verdict.Of(err).RetryAfter, qt.Equals, window+timeout)
	_, _, err = all[1].Acquire(ctx, "k", "other", window, timeout)
	qt.Check(t, verdict.Of(err).Reason, qt.Equals, verdict.KeyReused)
	qt.Check(t, verdict.Of(err).Run, qt.Equals, verdict.NotRun)

	clock = noon.Add(window)
	qt.Check(t, held.MaySend(), qt.IsFalse)
	clock = noon.Add(window + timeout)
	_, _, err = all[1].Acquire(ctx, "k", "h", window, timeout)
	qt.Check(t, verdict.Of(err).Reason, qt.Equals, verdict.ClaimLapsed)
	qt.Check(t, verdict.Of(err).Run, qt.Equals, verdict.MayHaveRun)

	held.Release(ctx)
	again, _, err := all[1].Acquire(ctx, "k", "h", window, timeout)
	qt.Assert(t, err, qt.IsNil)
	again.StoreAnswer(ctx, Answer{Status: 200, Body: []byte("done")})
	_, answer, err := all[0].Acquire(ctx, "k", "h", window, timeout)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(answer.Body), qt.Equals, "done")
	// The entry that held the claim first resumes; its late write must have
	// no effect.
	held.MarkLost(ctx)
	_, answer, err = all[0].Acquire(ctx, "k", "h", window, timeout)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, answer.Status, qt.Equals, 200)
}

func TestLargeAnswerIsOmitted(t *testing.T) {
	ctx := context.Background()
	all := newManagers(newMemory(), 1, func() time.Time { return noon })
	held, _, err := all[0].Acquire(ctx, "k", "h", window, timeout)
	qt.Assert(t, err, qt.IsNil)
	held.StoreAnswer(ctx, Answer{Status: 200, Body: make([]byte, MaxStoredBodyBytes+1)})
	_, answer, err := all[0].Acquire(ctx, "k", "h", window, timeout)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, answer.Omitted, qt.IsTrue)
}

// TestCallRunsAtMostOnceUnderStoreFaults guards against a call running twice, or
// a stored answer being returned for a call that did not run, when several
// entries receive the same call while calls of the store are lost, their answers
// are lost, reads are stale and the clock advances.
func TestCallRunsAtMostOnceUnderStoreFaults(t *testing.T) {
	rapid.Check(t, atMostOnce)
}

func atMostOnce(t *rapid.T) {
	ctx := context.Background()
	clock := noon
	m := newMemory()
	var later []func(context.Context) error
	all := newManagers(m, 3, func() time.Time { return clock })
	for _, c := range all {
		c.RetryLater = func(work func(context.Context) error) { later = append(later, work) }
	}
	m.nextFault = func() fault { return fault(rapid.IntRange(0, 4).Draw(t, "mishap")) }
	runs := 0
	var heldClaims []*Handle
	for range rapid.IntRange(1, 20).Draw(t, "steps") {
		switch rapid.IntRange(0, 3).Draw(t, "what") {
		case 0:
			held, answer, _ := all[rapid.IntRange(0, 2).Draw(t, "entry")].Acquire(ctx, "k", "h", window, timeout)
			if held != nil {
				heldClaims = append(heldClaims, held)
			}
			if answer != nil && runs != 1 {
				t.Fatalf("answered although the call ran %d times", runs)
			}
		case 1:
			if len(heldClaims) == 0 {
				continue
			}
			held := heldClaims[0]
			heldClaims = heldClaims[1:]
			if !held.MaySend() || rapid.Bool().Draw(t, "unreachable") {
				held.Release(ctx)
				continue
			}
			runs++
			if rapid.Bool().Draw(t, "answered") {
				held.StoreAnswer(ctx, Answer{Status: 200})
			} else {
				held.MarkLost(ctx)
			}
		case 2:
			clock = clock.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Second)
		case 3:
			pending := later
			later = nil
			for _, work := range pending {
				if work(ctx) != nil {
					later = append(later, work)
				}
			}
		}
		if runs > 1 {
			t.Fatalf("the call ran %d times", runs)
		}
	}
}

func TestSweepKeepsRecentClaims(t *testing.T) {
	ctx := context.Background()
	clock := noon
	m := newMemory()
	c := newManagers(m, 1, func() time.Time { return clock })[0]
	c.Objects.List = func(context.Context, string) ([]string, error) {
		var keys []string
		for key := range m.objects {
			keys = append(keys, key)
		}
		return keys, nil
	}
	for _, key := range []string{"old", "young"} {
		_, _, err := c.Acquire(ctx, Key("shop", key), "h", window, timeout)
		qt.Assert(t, err, qt.IsNil)
		clock = clock.Add(Retention - time.Second)
	}
	removed, err := c.Sweep(ctx, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, removed, qt.Equals, 1)
	qt.Check(t, m.objects, qt.HasLen, 1)
}

func TestKeyDiffersBetweenAccounts(t *testing.T) {
	qt.Check(t, Key("a", "k"), qt.Not(qt.Equals), Key("b", "k"))
	qt.Check(t, Key("a", "bk"), qt.Not(qt.Equals), Key("ab", "k"))
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Nonce":"n","State":"claimed"}`))
	f.Add([]byte(`{"Nonce":"n","State":"answered","Answer":{"Status":200}}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		claim, err := decode(value)
		if err == nil && claim.State == Answered && claim.Answer == nil {
			t.Fatal("answered claim without an answer accepted")
		}
	})
}
