package drain_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/transport/drain"
)

// TestUnansweredRequestIsReported checks that the end of a connection on which a request
// was begun and not answered is reported, and by whom it ended, and no other end.
func TestUnansweredRequestIsReported(t *testing.T) {
	const (
		abort    = "GET /abort HTTP/1.1\r\nHost: h\r\n\r\n"
		closing  = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
		expected = "POST /abort HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab"
	)
	for _, x := range []struct {
		name string
		// text is what the caller sends, and answers how many answers it reads
		// before it closes the connection if leaves is set.
		text    string
		answers int
		leaves  bool
		// reported is set if the end is reported, with cause and served.
		reported bool
		cause    error
		served   int
	}{
		{name: "ended by the handler", text: abort, reported: true},
		{name: "ended by the handler after others", text: get + get + abort, answers: 2, reported: true, served: 2},
		{name: "ended by the handler after an interim answer", text: expected, answers: 1, reported: true},
		{name: "ended by the caller", text: get + postStart, answers: 1, leaves: true, reported: true, cause: io.EOF, served: 1},
		{name: "header not in time", text: get[:len(get)-2], reported: true, cause: os.ErrDeadlineExceeded},
		{name: "answered", text: get, answers: 1, leaves: true},
		{name: "answered and closed", text: closing, answers: 1},
		{name: "nothing sent", leaves: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			s := &server{Listener: drain.NewListener(tcp)}
			ends := make(chan drain.End, 2)
			s.OnUnanswered = func(e drain.End) { ends <- e }
			h := &http.Server{ConnState: drain.Track, ReadHeaderTimeout: longIdle, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/abort" || r.ContentLength == 4 {
					panic(http.ErrAbortHandler)
				}
			})}
			go h.Serve(s.Listener)
			defer h.Close()
			c := s.dial(t)
			c.write(x.text)
			for range x.answers {
				qt.Check(t, c.answer() != 0, qt.IsTrue)
			}
			if x.leaves {
				c.Close()
			}
			var got []drain.End
			select {
			case e := <-ends:
				got = append(got, e)
			case <-time.After(3 * longIdle):
			}
			if !x.reported {
				qt.Assert(t, got, qt.HasLen, 0)
				return
			}
			qt.Assert(t, got, qt.HasLen, 1)
			qt.Check(t, errors.Is(got[0].Cause, x.cause), qt.IsTrue, qt.Commentf("%v", got[0].Cause))
			qt.Check(t, got[0].Read, qt.Equals, int64(len(x.text)))
			qt.Check(t, got[0].Served, qt.Equals, x.served)
			qt.Check(t, got[0].Caller.String(), qt.Equals, c.LocalAddr().String())
		})
	}
}
