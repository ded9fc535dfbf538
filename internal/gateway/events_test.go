package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/setting"
	"lovageport.example/internal/transport/http1"
)

func testSettings() *setting.Gateway {
	g := &setting.Gateway{Name: "g", Zone: "a"}
	g.Listen.Peers = "10.0.0.1:1"
	return g
}

// readEvents returns all whole events, the last ID and the end.
func readEvents(from io.Reader) (text, id string, err error) {
	r := eventReader{from: from}
	var b strings.Builder
	for {
		events, last, err := r.next()
		if err != nil {
			return b.String(), id, err
		}
		b.Write(events)
		if last != "" {
			id = last
		}
	}
}

func TestEvents(t *testing.T) {
	broken := errors.New("broken")
	for _, test := range []struct {
		name, in, out, id string
		end               error
	}{
		{"whole", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2", io.EOF},
		{"torn", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", "1", errTorn},
		{"broken", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", "1", broken},
		{"carriage returns", "id: 7\r\ndata: a\r\n\r\n", "id: 7\r\ndata: a\r\n\r\n", "7", io.EOF},
		{"ID in the data", "id: 3\ndata: id: 9\n\n", "id: 3\ndata: id: 9\n\n", "3", io.EOF},
		{"version line first", "weight-versions: 4\nid: 5\ndata: a\n\n", "weight-versions: 4\nid: 5\ndata: a\n\n", "5", io.EOF},
		{"empty", "", "", "", io.EOF},
	} {
		t.Run(test.name, func(t *testing.T) {
			var in io.Reader = strings.NewReader(test.in)
			if test.end == broken {
				in = io.MultiReader(in, iotest.ErrReader(broken))
			}
			for name, reader := range map[string]io.Reader{"at once": in, "by byte": iotest.OneByteReader(strings.NewReader(test.in))} {
				if test.end == broken && name == "by byte" {
					continue
				}
				text, id, err := readEvents(reader)
				qt.Check(t, text, qt.Equals, test.out)
				qt.Check(t, id, qt.Equals, test.id)
				qt.Check(t, err, qt.Equals, test.end)
			}
		})
	}
}

// endlessReader repeats a text for ever, and counts what was read.
type endlessReader struct {
	text string
	read int
}

func (r *endlessReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], r.text[(r.read+n)%len(r.text):])
	}
	r.read += n
	return n, nil
}

// TestEndlessEvents: bytes that never become an event with an ID are given up
// at a bound.
func TestEndlessEvents(t *testing.T) {
	for _, x := range []struct{ name, start, again string }{
		{"event", "id: 1\ndata: ", "x"},
		{"lines of an event", "id: 1\n", "data: x\n"},
		{"ID", "", "id: " + strings.Repeat("1", maxEventIDBytes+1) + "\n\n"},
		{"events without ID", "", ": nothing\n\n"},
		{"empty events", "", "\n\n"},
		{"no text", "", "\x00"},
	} {
		t.Run(x.name, func(t *testing.T) {
			again := &endlessReader{text: x.again}
			_, _, err := readEvents(io.MultiReader(strings.NewReader(x.start), again))
			qt.Check(t, errors.Is(err, http1.ErrMalformed), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, again.read <= 2*maxEventBytes, qt.IsTrue, qt.Commentf("%d bytes read", again.read))
		})
	}
}

// FuzzEvents: whatever comes, whole events are passed on as they are, and
// nothing else is.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\nda")
	f.Add("id: 7\r\ndata: a\r\n\r\n")
	f.Add("\n\n\n")
	f.Add("id:\n\nid: x")
	f.Fuzz(func(t *testing.T, in string) {
		out, id, err := readEvents(iotest.OneByteReader(strings.NewReader(in)))
		if !strings.HasPrefix(in, out) {
			t.Errorf("%q is no start of %q", out, in)
		}
		if err == nil {
			t.Error("no end")
		}
		if len(id) > maxEventIDBytes {
			t.Errorf("ID of %d bytes", len(id))
		}
	})
}
