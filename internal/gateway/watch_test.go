package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/logging"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/revision"
	"lovageport.example/platform"
)

// TestStoreStateIsLoggedOncePerChange guards against missing or repeated log
// lines when the store fails repeatedly, recovers, or lacks the object.
func TestStoreStateIsLoggedOncePerChange(t *testing.T) {
	var lines bytes.Buffer
	log, err := logging.New(&lines, "info")
	qt.Assert(t, err, qt.IsNil)
	s := newState(t)
	s.log = log
	down := errors.New("down")
	for _, err := range []error{nil, platform.ErrNotFound, platform.ErrNotFound, down, down, nil, nil, down, platform.ErrNotFound} {
		s.recordStoreResult(tableName, err)
	}
	var events []string
	for line := range strings.Lines(lines.String()) {
		_, event, _ := strings.Cut(line, "event=\"")
		event, _, _ = strings.Cut(event, "\"")
		events = append(events, event)
	}
	qt.Check(t, events, qt.DeepEquals, []string{"nothing in store", "store lost", "store regained", "store lost", "nothing in store"})
}

// TestWakeUpEndsSleep guards against a request that needs a fresh configuration
// waiting for the pause between two watches.
func TestWakeUpEndsSleep(t *testing.T) {
	w := &watcher{wake: make(chan struct{}, 1)}
	qt.Check(t, w.sleep(t.Context(), time.Millisecond), qt.IsFalse)
	w.wakeUp()
	qt.Check(t, w.sleep(t.Context(), time.Hour), qt.IsTrue)
}

// TestFailedFetchEndsLongerPause guards against a gateway that waits for the end of a long
// pause although its peers are too busy to send it a newer configuration, against a complete
// read where a watch suffices, and against watches without the usual pause.
func TestFailedFetchEndsLongerPause(t *testing.T) {
	w := &watcher{wake: make(chan struct{}, 1), resume: make(chan struct{}, 1)}
	notify(w.resume)
	const usual = 20 * time.Millisecond
	began := time.Now()
	qt.Check(t, w.sleep(t.Context(), usual), qt.IsFalse)
	qt.Check(t, time.Since(began) >= usual, qt.IsTrue)
	qt.Check(t, w.pauseLonger(t.Context(), time.Hour), qt.IsFalse)
	w.wakeUp()
	qt.Check(t, w.pauseLonger(t.Context(), time.Hour), qt.IsTrue, qt.Commentf("no longer confirmed"))
	qt.Check(t, w.pauseLonger(t.Context(), usual), qt.IsFalse)
	qt.Check(t, w.pauseLonger(t.Context(), 0), qt.IsFalse)
}

// TestUnconfirmedGatewayPausesNoLonger guards against a long pause of a gateway that no
// peer confirms what it knows.
func TestUnconfirmedGatewayPausesNoLonger(t *testing.T) {
	g := newConfiguredGateway(t)
	g.control.Do(func(s *state) {
		s.listedAt = g.Now()
		for i := range 60 {
			host := fmt.Sprintf("0%02d", i)
			s.members.Update(&peering.News{Version: peering.Version, Address: peering.Address{Gateway: host, Zone: s.zone, Address: host}, Follows: true}, g.Now())
		}
	})
	qt.Check(t, g.longerTablePause() > 0, qt.IsTrue)
	qt.Check(t, g.longerListPause() > 0, qt.IsTrue)
	// The bound on configurations is 2 s.
	g.passed.Add(int64(2 * time.Second))
	qt.Check(t, g.longerTablePause(), qt.Equals, time.Duration(0))
	qt.Check(t, g.longerListPause() > 0, qt.IsTrue)
	g.passed.Add(int64(staleAge - 2*time.Second))
	qt.Check(t, g.longerListPause(), qt.Equals, time.Duration(0))
}

// TestHangingReadEndsWhenStoreIsReachable guards against one watcher waiting for the
// timeout of a call that was sent before the store answered the other watcher.
func TestHangingReadEndsWhenStoreIsReachable(t *testing.T) {
	w := &watcher{wake: make(chan struct{}, 1), reachable: make(chan struct{}, 1)}
	reads := 0
	w.read = func(ctx context.Context) (revision.Revision, error) {
		reads++
		if reads > 1 {
			return revision.Revision{Number: 7}, nil
		}
		// A request that needs a fresh configuration does not end it: the next
		// read might take as long.
		w.wakeUp()
		notify(w.reachable)
		<-ctx.Done()
		return revision.Revision{}, ctx.Err()
	}
	at, err := w.step(t.Context(), revision.Revision{}, false)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, at, qt.Equals, revision.Revision{Number: 7})
	qt.Check(t, reads, qt.Equals, 2)
	notify(w.reachable)
	<-w.wake
	qt.Check(t, w.sleep(t.Context(), time.Hour), qt.IsTrue)
}

// TestReadFollowsWatchThatShowsNoChanges guards against a watch that is repeated from
// the same revision although the store cannot show the changes since then.
func TestReadFollowsWatchThatShowsNoChanges(t *testing.T) {
	for _, shown := range []error{platform.ErrHistoryGone, platform.ErrRestored, platform.ErrTooManyChanges} {
		g := &Gateway{control: loop.New[state](), Now: func() time.Duration { return 0 }}
		g.control.State = *newState(t)
		go g.control.Run(t.Context())
		w := &watcher{g: g, wake: make(chan struct{}, 1), watch: func(context.Context, platform.WatchOptions) (revision.Revision, error) {
			return revision.Revision{}, fmt.Errorf("watch: %w", shown)
		}}
		at, err := w.step(t.Context(), revision.Revision{Number: 7}, false)
		qt.Check(t, err, qt.IsNil, qt.Commentf("%v", shown))
		qt.Check(t, at.IsZero(), qt.IsTrue)
	}
}
