package objectstore

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/standin/scripted"
	"lovageport.example/internal/state/store"
)

// startStore starts a store that answers the n-th request of a connection, counted
// from 0, with bytes.
func startStore(t *testing.T, answer func(n int, r *http.Request) string) *Client {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	s := &scripted.Server{Answer: func(n int, r *http.Request) (string, bool) { return answer(n, r), false }}
	go s.Serve(listener)
	c := &Client{Address: listener.Addr().String(), Timeout: time.Second}
	t.Cleanup(func() { c.Close() })
	return c
}

func whole(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

const (
	foundA   = `{"Key":"a","Version":3,"Value":"eA=="}`
	writtenB = `{"Key":"b","Version":7}`
)

// TestStrayStoreAnswer guards against belief in a message that the store writes once
// more on a connection that is kept. Before the answer to each later request it
// writes a copy of its first one.
func TestStrayStoreAnswer(t *testing.T) {
	for _, x := range []struct{ name, first string }{
		{"object", whole("200 OK", foundA)},
		{"written", whole("200 OK", `{"Key":"a","Version":3}`)},
		{"not found", whole("404 Not Found", "")},
		{"conflict", whole("412 Precondition Failed", `{"Version":9}`)},
		{"not accepted", whole("429 Too Many Requests", "")},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := startStore(t, func(n int, r *http.Request) string {
				if r.URL.Path == "/objects/a" {
					return x.first
				}
				stray := ""
				if n > 0 {
					stray = x.first
				}
				if r.Method == http.MethodGet {
					return stray + whole("200 OK", `{"Key":"b","Version":5,"Value":"eQ=="}`)
				}
				return stray + whole("200 OK", writtenB)
			})
			objects := c.Objects()
			ctx := context.Background()
			_, _ = objects.Get(ctx, "a")
			found, err := objects.Get(ctx, "b")
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, found.Version, qt.Equals, int64(5))
			_, _ = objects.Get(ctx, "a")
			version, err := objects.Put(ctx, "b", []byte("y"), 5)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, version, qt.Equals, int64(7))
		})
	}
}

// TestStoreAnswerAboutAnotherObject guards against belief in an answer that states
// another key, or a version that the call can't have led to.
func TestStoreAnswerAboutAnotherObject(t *testing.T) {
	for _, x := range []struct{ name, body string }{
		{"another key", `{"Key":"b","Version":6}`},
		{"version before the write", `{"Key":"a","Version":4}`},
		{"version as before the write", `{"Key":"a","Version":5}`},
		{"cut", `{"Key":"a","Version":6`},
		{"two objects", `{"Key":"a","Version":6}{"Key":"a","Version":7}`},
		{"text", "not available"},
	} {
		t.Run(x.name, func(t *testing.T) {
			objects := startStore(t, func(int, *http.Request) string { return whole("200 OK", x.body) }).Objects()
			ctx := context.Background()
			_, err := objects.Put(ctx, "a", []byte("x"), 5)
			qt.Assert(t, err, qt.IsNotNil)
			var unsent *store.NotSentError
			qt.Check(t, errors.As(err, &unsent), qt.IsFalse)
			_, err = objects.Watch(ctx, "a", 5, 0)
			qt.Check(t, err, qt.IsNotNil)
			if x.name == "another key" {
				_, err = objects.Get(ctx, "a")
				qt.Check(t, err, qt.IsNotNil)
			}
		})
	}
	t.Run("conflict with the version that was expected", func(t *testing.T) {
		objects := startStore(t, func(int, *http.Request) string { return whole("412 Precondition Failed", `{"Version":5}`) }).Objects()
		_, err := objects.Put(context.Background(), "a", []byte("x"), 5)
		qt.Assert(t, err, qt.IsNotNil)
		var conflict *store.ConflictError
		qt.Check(t, errors.As(err, &conflict), qt.IsFalse)
	})
}
