package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"lovageport.example/platform/platformtest"
)

func init() { cases["early-answer"] = earlyAnswer }

const (
	// longBody is the size of the body of a request: max_body_bytes of the deployment.
	longBody = 4 << 20
	// answerPause is the time between the two halves of an answer.
	answerPause = 150 * time.Millisecond
	// earlyTries is the number of requests, with earlyGap between them.
	earlyTries = 10
	earlyGap   = 2 * time.Second
	// plainRunners is the number of runners of the plain service.
	plainRunners = 6
)

// wholeAnswer returns the text with which a runner answers a request.
func wholeAnswer(runner, id string) string {
	return fmt.Sprintf("booked by %s for %s: %s end\n", runner, id, strings.Repeat("0123456789", 200))
}

// earlyAnswer sends requests with long bodies to runners that answer before they have read
// the body, without a length. Each of these runners crashes in the middle of its answer, so
// that the connection is reset. The client must not get the half as a complete answer.
func earlyAnswer(l *lab, trouble bool) ([]string, error) {
	l.store.Configure(platformtest.Configuration{Version: 1, Keys: []string{apiKey}, StreamAttempts: 2, Edit: func(s *platformtest.Specification) {
		s.Limits["max_body_bytes"] = longBody
	}})
	started := 0
	startRunner := func() error {
		started++
		id := fmt.Sprintf("i-%03d", started)
		var u *rawRunner
		ready := make(chan struct{})
		u, err := l.newRawRunner(id, zones[started%len(zones)], func(c *net.TCPConn, _ *bufio.Reader, r *http.Request) bool {
			<-ready
			request := r.Header.Get("Request-Id")
			text := wholeAnswer(id, request)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s: %s\r\nContent-Type: text/plain\r\n\r\n%s", request, wire.Origin, id, text[:len(text)/2])
			time.Sleep(answerPause)
			if trouble {
				l.record("%s crashes in the middle of its answer to %s", id, request)
				u.crash()
				time.AfterFunc(expiryTime, func() { l.store.Remove("servers", id) })
				return false
			}
			// It writes the rest, reads the rest of the body, and closes the connection,
			// which ends its answer. It fails only if the caller has gone.
			_, _ = io.WriteString(c, text[len(text)/2:])
			_, _ = io.Copy(io.Discard, r.Body)
			return false
		})
		close(ready)
		return err
	}
	for range plainRunners {
		if err := startRunner(); err != nil {
			return nil, err
		}
	}
	if err := l.startFleet(l.directStore); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	var broken []string
	for i := range earlyTries {
		g := l.gateways[i%len(l.gateways)]
		c := l.sendBody(g, "/book/1", apiKey, bytes.Repeat([]byte("b"), longBody), time.Second)
		stamp := c.header.Get(wire.Origin)
		whole := wholeAnswer(stamp, c.id)
		switch {
		case c.err == nil && c.status/100 == 2 && c.body != whole:
			broken = append(broken, fmt.Sprintf("request %s got status %d and %d of the %d bytes of the answer of %s, as a complete answer", c.id, c.status, len(c.body), len(whole), stamp))
		case !trouble && (c.err != nil || c.status != http.StatusOK):
			return nil, fmt.Errorf("request %s without a disruption: status %d, %w", c.id, c.status, c.err)
		}
		if trouble {
			if err := startRunner(); err != nil {
				return nil, err
			}
		}
		time.Sleep(earlyGap)
	}
	return broken, nil
}
