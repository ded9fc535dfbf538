package drain_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPipelinedRequestsAreAnswered guards against ending a connection, and with it the
// request that is at work, because that request was read together with an earlier one.
func TestPipelinedRequestsAreAnswered(t *testing.T) {
	const slow = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, x := range []struct {
		name string
		// first is sent at once, rest after the drain has begun.
		first, rest string
		answers     int
	}{
		{name: "second at work", first: get + slow, answers: 2},
		{name: "third at work", first: get + get + slow, answers: 3},
		{name: "half of the second", first: get + get[:10], rest: get[10:], answers: 2},
		{name: "half of the second's body", first: get + postStart, rest: "cd", answers: 2},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, func(w http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				qt.Check(t, err, qt.IsNil)
				if r.URL.Path != "/slow" {
					return
				}
				select {
				case <-r.Context().Done():
					w.WriteHeader(http.StatusBadGateway)
				case <-time.After(4 * longIdle):
				}
			})
			c := s.dial(t)
			c.write(x.first)
			time.Sleep(longIdle)
			drained := make(chan error, 1)
			go func() { drained <- s.Drain(context.Background()) }()
			if x.rest != "" {
				time.Sleep(longIdle)
				c.write(x.rest)
			}
			answers := 0
			for c.answer() == http.StatusOK {
				answers++
			}
			qt.Check(t, answers, qt.Equals, x.answers)
			qt.Check(t, <-drained, qt.IsNil)
		})
	}
}

// TestAnswerIsNotLostToLaterRequest guards against the reset that the kernel sends for
// a closed connection with unread data, which destroys what the caller has not read.
func TestAnswerIsNotLostToLaterRequest(t *testing.T) {
	const size = 1 << 20
	started, release := make(chan struct{}, 1), make(chan struct{})
	s := serve(t, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		w.Header().Set("Connection", "close")
		_, err := io.WriteString(w, strings.Repeat("x", size))
		qt.Check(t, err, qt.IsNil)
	})
	c := s.dial(t)
	c.write(get)
	<-started
	c.write(get)
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	close(release)
	time.Sleep(longIdle)
	response, err := http.ReadResponse(c.reader, nil)
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, len(body), qt.Equals, size)
	qt.Check(t, <-drained, qt.IsNil)
}

// TestRequestAfterTheEndIsResetAtOnce guards against a caller whose request crosses the
// end of its quiet connection and that waits for an answer, because the connection
// still takes requests that nobody reads.
func TestRequestAfterTheEndIsResetAtOnce(t *testing.T) {
	const limit = 250 * time.Millisecond
	s := serve(t, func(http.ResponseWriter, *http.Request) {})
	c := s.dial(t)
	c.write(get)
	qt.Assert(t, c.answer(), qt.Equals, http.StatusOK)
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	_, err := c.reader.ReadByte()
	qt.Assert(t, err, qt.Equals, io.EOF)
	began := time.Now()
	for err = nil; err == nil && time.Since(began) < limit; time.Sleep(time.Millisecond) {
		_, err = c.Write([]byte(get))
	}
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, <-drained, qt.IsNil)
}
