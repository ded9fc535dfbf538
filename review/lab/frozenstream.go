package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lovageport.example/platform/platformtest"
)

func init() { cases["frozen-stream"] = frozenStream }

const (
	// streamEvents is the number of events of a stream, and eventInterval the time
	// between two of them, which the route allows.
	streamEvents  = 40
	eventInterval = 180 * time.Millisecond
	// streamCount is the number of streams.
	streamCount = 60
	// freezeTime is how long the gateway stands still, and resetDelay how long after the
	// begin of that the runner resets its connections.
	freezeTime = 3 * time.Second
	resetDelay = 20 * time.Millisecond
)

// answerStream answers with the events of a stream after those that the request names. The
// answer has no length and ends with its connection.
func answerStream(id string) func(c *net.TCPConn, _ *bufio.Reader, r *http.Request) bool {
	return func(c *net.TCPConn, _ *bufio.Reader, r *http.Request) bool {
		// What fails here fails because the caller has gone, or the runner has ended.
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Request-Id"), wire.Origin, id)
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for n := after + 1; n <= streamEvents; n++ {
			if _, err := io.WriteString(c, platformtest.EventText(n, n)); err != nil {
				return false
			}
			time.Sleep(eventInterval)
		}
		return false
	}
}

// frozenStream has a gateway stand still while one of the runners of its streams resets its
// connections. No stream may end as complete before its last event.
func frozenStream(l *lab, trouble bool) ([]string, error) {
	l.store.Configure(platformtest.Configuration{Version: 1, Keys: []string{apiKey}, StreamAttempts: 2, StreamPause: 200 * time.Millisecond, Edit: func(s *platformtest.Specification) {
		stream := platformtest.Named(s.Routes, "stream")
		stream["service"], stream["timeout_ms"] = platformtest.PlainService, 20000
	}})
	var runners []*rawRunner
	for i := range plainRunners {
		id := fmt.Sprintf("i-%03d", i+1)
		u, err := l.newRawRunner(id, zones[i], answerStream(id))
		if err != nil {
			return nil, err
		}
		// Streams need more slots than calls.
		u.registration["slots"] = 192
		l.store.Put("servers", id, u.registration)
		runners = append(runners, u)
	}
	if err := l.startFleet(l.directStore); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	frozen := l.gateways[0]
	var streams sync.WaitGroup
	var mu sync.Mutex
	var calls []*call
	for i := range streamCount {
		streams.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			c := l.send(frozen, http.MethodPost, "/stream/1", apiKey, 20*time.Second)
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, c)
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		leaver := busiest(runners)
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(resetDelay)
		l.record("%s resets its connections, of %d streams", leaver.id, leaver.open())
		leaver.crash()
		time.AfterFunc(expiryTime, func() { l.store.Remove("servers", leaver.id) })
		time.Sleep(freezeTime - resetDelay)
		frozen.signal(syscall.SIGCONT)
	}
	streams.Wait()
	var broken []string
	whole := platformtest.EventText(1, streamEvents)
	for _, c := range calls {
		switch {
		case c.status != http.StatusOK:
		case c.err == nil && c.body != whole:
			broken = append(broken, fmt.Sprintf("stream %s ended as complete after %d of %d events", c.id, strings.Count(c.body, "id: "), streamEvents))
		case !strings.HasPrefix(whole, c.body):
			broken = append(broken, fmt.Sprintf("stream %s has events out of order", c.id))
		}
		if !trouble && c.body != whole {
			return nil, fmt.Errorf("stream %s without a disruption: status %d, %w", c.id, c.status, c.err)
		}
	}
	return broken, nil
}

// busiest returns the runner with the most open connections.
func busiest(runners []*rawRunner) *rawRunner {
	best := runners[0]
	for _, u := range runners {
		if u.open() > best.open() {
			best = u
		}
	}
	return best
}
