package endtoend

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/platform/platformtest"
)

const (
	// starvedEvents is the number of events of a stream at a gateway that gets little
	// processor time, and starvedInterval the time between two of them.
	starvedEvents   = 40
	starvedInterval = 25 * time.Millisecond
	// quotaPeriod is the period of a quota of processor time, and quotaStop the part of it
	// in which the process doesn't run.
	quotaPeriod = 100 * time.Millisecond
	quotaStop   = 60 * time.Millisecond
)

// limitQuota has a process run in a part of each period only, until stop is closed.
func limitQuota(p *process, stop <-chan struct{}) {
	for {
		// It fails only if the process has ended.
		_ = p.command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(quotaStop)
		_ = p.command.Process.Signal(syscall.SIGCONT)
		select {
		case <-stop:
			return
		case <-time.After(quotaPeriod - quotaStop):
		}
	}
}

// TestStarvedGatewayEndsNoResetStream guards against streams without length that end as
// complete too early at a gateway with little processor time while their upstreams reset
// them: what the gateway does beside the read of a stream is often due together with it.
func TestStarvedGatewayEndsNoResetStream(t *testing.T) {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	var upstreams []*platformtest.Upstream
	for i := range 4 {
		u := platformtest.NewUpstream(store, platformtest.PlainService, "a", "", fmt.Sprint("s", i))
		t.Cleanup(u.Close)
		u.EventInterval = starvedInterval
		u.Handler = func(w http.ResponseWriter, _ *http.Request, req platformtest.Request) { u.StreamUnframed(w, req) }
		upstreams = append(upstreams, u)
	}
	store.Configure(platformtest.Configuration{Version: 1, Keys: []string{"k1"}, StreamAttempts: 3, StreamPause: 200 * time.Millisecond, Edit: func(s *platformtest.Specification) {
		platformtest.Named(s.Routes, "stream")["service"] = platformtest.PlainService
	}})
	g := runGateway(t, store, 4000, "[Bounds]\nRetryShare = 1.0\nRetrySlack = 100000.0\n")
	awaitAnswer(t, func() (int, error) {
		status, _, err := g.stream("first")
		return status, err
	})
	stop := make(chan struct{})
	var background, callers sync.WaitGroup
	background.Go(func() { limitQuota(g.process, stop) })
	var resets, whole, cut atomic.Int64
	background.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
				resets.Add(int64(upstreams[n%len(upstreams)].ResetStreams()))
			}
		}
	})
	for i := range 60 {
		callers.Go(func() {
			for n, end := 0, time.Now().Add(8*time.Second); time.Now().Before(end); n++ {
				status, text, err := g.stream(fmt.Sprintf("c%d-%d", i, n))
				switch {
				case err == nil && status == http.StatusOK:
					whole.Add(1)
					qt.Check(t, text, qt.Equals, platformtest.EventText(1, starvedEvents))
				default:
					cut.Add(1)
					qt.Check(t, strings.HasPrefix(platformtest.EventText(1, starvedEvents), text) || status != http.StatusOK, qt.IsTrue)
				}
			}
		})
	}
	callers.Wait()
	close(stop)
	background.Wait()
	t.Logf("%d resets, %d whole streams, %d cut", resets.Load(), whole.Load(), cut.Load())
	qt.Check(t, resets.Load() > 100, qt.IsTrue)
	qt.Check(t, whole.Load() > 0, qt.IsTrue)
}

// stream requests a stream over a connection of its own and reads what comes of it.
func (g *gatewayProcess) stream(id string) (status int, text string, err error) {
	// A request that comes again while upstreams end is taken for their fault.
	r, err := http.NewRequest(http.MethodPost, "http://"+g.callers+"/stream/"+id, strings.NewReader(id))
	if err != nil {
		return 0, "", err
	}
	platformtest.SetCall(r, id, "k1", 10*time.Second, starvedEvents)
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}
