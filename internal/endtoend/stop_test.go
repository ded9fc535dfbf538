package endtoend

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestGracefulStop checks that a stop signal lets the request in flight end,
// even if it is repeated, and that the process exits with code 0. Only a
// second SIGINT ends requests at once. Signals of one kind that are pending
// together, because the process stands still, are delivered once.
func TestGracefulStop(t *testing.T) {
	for _, x := range []stopSequence{
		{name: "SIGTERM once", signals: []syscall.Signal{syscall.SIGTERM}, whole: true},
		{name: "SIGTERM repeatedly", signals: []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}, whole: true},
		{name: "SIGINT then SIGTERM", signals: []syscall.Signal{syscall.SIGINT, syscall.SIGTERM}, whole: true},
		{name: "SIGINT twice", signals: []syscall.Signal{syscall.SIGINT, syscall.SIGINT}},
		{name: "SIGINT twice at a standstill", signals: []syscall.Signal{syscall.SIGINT, syscall.SIGINT}, standstill: true, whole: true},
	} {
		t.Run(x.name, func(t *testing.T) { checkStopWhileStreaming(t, x) })
	}
}

// stopSequence is a sequence of signals that stop an entry.
type stopSequence struct {
	name    string
	signals []syscall.Signal
	// standstill has the process stand still until all signals are sent.
	standstill bool
	// whole is set if a stream must end complete, and not set if it must be cut off.
	whole bool
}

// send sends the signals to an entry. Unless the process stands still, the first one
// has taken effect when the second is sent.
func (x *stopSequence) send(t *testing.T, e *process) {
	signal := func(s syscall.Signal) { qt.Assert(t, e.command.Process.Signal(s), qt.IsNil) }
	if x.standstill {
		signal(syscall.SIGSTOP)
		awaitStopped(t, e)
		defer signal(syscall.SIGCONT)
	}
	for i, s := range x.signals {
		signal(s)
		if i == 0 && !x.standstill {
			awaitNotReady(t, e)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitStopped waits until all threads of an entry have stopped after SIGSTOP. One that
// still runs could take a signal, so that the next one is another.
func awaitStopped(t *testing.T, e *process) {
	for end := time.Now().Add(startTimeout); !isStopped(t, e.command.Process.Pid); time.Sleep(pollInterval) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("entry at %s has not stopped", e.operators))
	}
}

// isStopped reports whether all threads of a process are stopped.
func isStopped(t *testing.T, pid int) bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	qt.Assert(t, err, qt.IsNil)
	for _, path := range stats {
		text, err := os.ReadFile(path)
		qt.Assert(t, err, qt.IsNil)
		// The state follows the name, which is in parentheses.
		_, state, _ := strings.Cut(string(text), ") ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return len(stats) > 0
}

// awaitNotReady waits until an entry reports that it is not ready.
func awaitNotReady(t *testing.T, e *process) {
	for end := time.Now().Add(startTimeout); isReady(e); time.Sleep(pollInterval) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("entry at %s still ready", e.operators))
	}
}

// Numbers of tokens of streams. A long stream takes ten seconds, so that it can't end
// before a second signal is sent. Neither its deadline nor that of the drain is
// shorter.
const (
	shortStream = 50
	longStream  = 500
)

// checkStopWhileStreaming sends signals to an entry that is forwarding a
// stream.
func checkStopWhileStreaming(t *testing.T, x stopSequence) {
	s := startSystem(t, 1, "--layers-per-second", "600")
	type result struct {
		text string
		err  error
	}
	answered := make(chan result, 1)
	tokens := longStream
	if x.whole {
		tokens = shortStream
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":"a card"}`, model, tokens)
	go func() {
		_, text, err := post(s.entries[0], "/v1/completions", "", body)
		answered <- result{text, err}
	}()
	time.Sleep(300 * time.Millisecond)
	e := s.entries[0]
	x.send(t, e)
	got := <-answered
	qt.Check(t, got.err == nil && strings.HasSuffix(got.text, "data: [DONE]\n\n"), qt.Equals, x.whole)
	<-e.done
	qt.Check(t, e.command.ProcessState.ExitCode(), qt.Equals, 0)
}
