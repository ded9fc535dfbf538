package endtoend

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStandstillOfEntryBlamesNobody guards against attempts that are given up, and
// upstreams that are taken out of use, because the entry itself stood still and had
// not read what had arrived.
func TestStandstillOfEntryBlamesNobody(t *testing.T) {
	s := startSystem(t, 1, "--layers-per-second", "300")
	e := s.entries[0]
	const streams = 16
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":80,"prompt":"a card"}`, model)
	ended := make(chan bool, streams)
	for range streams {
		go func() {
			response, text, err := post(e, "/v1/completions", "", body)
			ended <- err == nil && response.StatusCode == http.StatusOK && strings.HasSuffix(text, "data: [DONE]\n\n")
		}()
	}
	time.Sleep(500 * time.Millisecond)
	qt.Assert(t, e.command.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	time.Sleep(1500 * time.Millisecond)
	qt.Assert(t, e.command.Process.Signal(syscall.SIGCONT), qt.IsNil)
	for range streams {
		qt.Check(t, <-ended, qt.IsTrue)
	}
	attempts := make(map[string]bool)
	for _, r := range engineRuns(t, s.upstreams[0]) {
		attempts[r.Attempt] = true
	}
	qt.Check(t, attempts, qt.HasLen, streams)
	out, err := s.runCommand("status")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, strings.Contains(out, "ejected"), qt.IsFalse, qt.Commentf("%s", out))
}
