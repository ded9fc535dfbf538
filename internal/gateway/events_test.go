package gateway

import (
	"errors"
	"fmt"
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

// readEvents reads all complete events and returns them with the last ID and
// the final error.
func readEvents(from io.Reader) (text, id string, err error) {
	var sequence eventSequence
	r := eventReader{source: from, sequence: &sequence}
	var b strings.Builder
	for {
		events, err := r.next()
		if err != nil {
			return b.String(), sequence.lastID(""), err
		}
		b.Write(events)
	}
}

// TestEventsAreNotSplit guards against passing on a part of an event, which a
// resumed stream would follow with the whole one.
func TestEventsAreNotSplit(t *testing.T) {
	errRead := errors.New("broken")
	for _, test := range []struct {
		name, in, out, id string
		end               error
	}{
		{"larger step before others", "id: 1\n\nid: 2\n\nid: 7\n\nid: 8\n\n", "id: 1\n\nid: 2\n\nid: 7\n\nid: 8\n\n", "8", io.EOF},
		{"larger step at the end", "id: 1\n\nid: 2\n\nid: 7\n\n: end\n\n", "id: 1\n\nid: 2\n\nid: 7\n\n: end\n\n", "7", io.EOF},
		{"larger steps in a row", "id: 1\n\nid: 2\n\nid: 7\n\nid: 20\n\n", "id: 1\n\nid: 2\n\nid: 7\n\nid: 20\n\n", "20", io.EOF},
		{"larger step before a truncated event", "id: 1\n\nid: 2\n\nid: 7\n\n: alive\n\nid: 8\n", "id: 1\n\nid: 2\n\n", "2", errTruncated},
		{"larger step before a read error", "id: 1\n\nid: 2\n\nid: 7\n\n", "id: 1\n\nid: 2\n\n", "2", errRead},
		{"complete", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2", io.EOF},
		{"truncated event", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", "1", errTruncated},
		{"read error", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", "1", errRead},
		{"CRLF line ends", "id: 7\r\ndata: a\r\n\r\n", "id: 7\r\ndata: a\r\n\r\n", "7", io.EOF},
		{"ID field within data", "id: 3\ndata: id: 9\n\n", "id: 3\ndata: id: 9\n\n", "3", io.EOF},
		{"other field before ID", "weight-versions: 4\nid: 5\ndata: a\n\n", "weight-versions: 4\nid: 5\ndata: a\n\n", "5", io.EOF},
		{"empty stream", "", "", "", io.EOF},
	} {
		t.Run(test.name, func(t *testing.T) {
			var in io.Reader = strings.NewReader(test.in)
			if test.end == errRead {
				in = io.MultiReader(in, iotest.ErrReader(errRead))
			}
			for name, reader := range map[string]io.Reader{"at once": in, "by byte": iotest.OneByteReader(strings.NewReader(test.in))} {
				if test.end == errRead && name == "by byte" {
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

// endlessReader repeats a text forever and counts the bytes read.
type endlessReader struct {
	text  string
	total int
}

func (r *endlessReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], r.text[(r.total+n)%len(r.text):])
	}
	r.total += n
	return n, nil
}

// TestUnboundedStreamIsRejected guards against buffering without limit when a
// stream never delivers an event with an ID.
func TestUnboundedStreamIsRejected(t *testing.T) {
	for _, x := range []struct{ name, start, endless string }{
		{"unterminated event", "id: 1\ndata: ", "x"},
		{"endless lines of an event", "id: 1\n", "data: x\n"},
		{"oversized ID", "", "id: " + strings.Repeat("1", maxEventIDBytes+1) + "\n\n"},
		{"events without ID", "", ": nothing\n\n"},
		{"empty events", "", "\n\n"},
		{"binary data", "", "\x00"},
	} {
		t.Run(x.name, func(t *testing.T) {
			endless := &endlessReader{text: x.endless}
			_, _, err := readEvents(io.MultiReader(strings.NewReader(x.start), endless))
			qt.Check(t, errors.Is(err, http1.ErrMalformed), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, endless.total <= 2*maxEventBytes, qt.IsTrue, qt.Commentf("%d bytes read", endless.total))
		})
	}
}

// FuzzEventReader checks that for any input complete events are returned
// unchanged, and nothing else.
func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\nda")
	f.Add("id: 7\r\ndata: a\r\n\r\n")
	f.Add("\n\n\n")
	f.Add("id:\n\nid: x")
	f.Fuzz(func(t *testing.T, in string) {
		out, id, err := readEvents(iotest.OneByteReader(strings.NewReader(in)))
		if !strings.HasPrefix(in, out) {
			t.Errorf("%q is not a prefix of %q", out, in)
		}
		if err == nil {
			t.Error("no final error")
		}
		if len(id) > maxEventIDBytes {
			t.Errorf("ID of %d bytes", len(id))
		}
	})
}

// TestEventsAreCheckedWithoutAllocation guards against work for the garbage
// collector at each event.
func TestEventsAreCheckedWithoutAllocation(t *testing.T) {
	const events = 1000
	var b strings.Builder
	for i := range events {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", 60))
	}
	allocations := testing.AllocsPerRun(10, func() {
		var sequence eventSequence
		r := eventReader{source: strings.NewReader(b.String()), sequence: &sequence}
		for {
			if _, err := r.next(); err != nil {
				qt.Assert(t, err, qt.Equals, io.EOF)
				break
			}
		}
		qt.Assert(t, sequence.last, qt.Equals, uint64(events))
	})
	qt.Assert(t, allocations < events/10, qt.IsTrue, qt.Commentf("%v allocations for %d events", allocations, events))
}

// TestSequence checks which IDs may follow one another.
func TestSequence(t *testing.T) {
	for _, x := range []struct {
		after string
		ids   []uint64
		valid bool
	}{
		{"", []uint64{1, 2, 3}, true},
		{"", []uint64{0, 1, 2}, true},
		{"", []uint64{3, 6, 7, 10}, true},
		{"12", []uint64{13, 14}, true},
		{"none", []uint64{1, 2}, true},
		{"", []uint64{1, 1}, false},
		{"", []uint64{2, 1}, false},
		{"", []uint64{1, 2, 4, 5}, true},
		{"", []uint64{1, 2, 4, 3}, false},
		{"", []uint64{1, 2, 4, 4}, false},
		{"12", []uint64{12}, false},
		{"12", []uint64{1}, false},
	} {
		var s eventSequence
		s.resumeAfter(x.after)
		var err error
		for _, id := range x.ids {
			if err == nil {
				err = s.advance(id)
			}
		}
		qt.Check(t, err == nil, qt.Equals, x.valid, qt.Commentf("%v after %q: %v", x.ids, x.after, err))
	}
}

// TestLargerStepOfResumedRun checks when the first event of a resumed run counts that
// makes a larger step than any before it.
func TestLargerStepOfResumedRun(t *testing.T) {
	c := qt.New(t)
	newSequence := func() *eventSequence {
		s := &eventSequence{}
		for id := range uint64(4) {
			c.Assert(s.advance(id), qt.IsNil)
		}
		return s
	}
	s := newSequence()
	s.beginRun()
	c.Assert(errors.Is(s.advance(7), errLargerStep), qt.IsTrue)
	c.Check(s.lastID(""), qt.Equals, "3")
	s.breakOff(eventFields{})
	s.beginRun()
	c.Assert(errors.Is(s.advance(8), errLargerStep), qt.IsTrue)
	s.breakOff(eventFields{})
	s.beginRun()
	c.Assert(s.advance(8), qt.IsNil)
	c.Check(s.lastID(""), qt.Equals, "8")

	// An event that does not count says nothing of the end.
	c.Check(s.checkEnd(), qt.IsNil)

	s = newSequence()
	s.breakOff(eventFields{hasID: true, id: 7})
	c.Check(s.checkEnd(), qt.IsNotNil)
	s.beginRun()
	c.Assert(s.advance(7), qt.IsNil)
	c.Check(s.checkEnd(), qt.IsNil)

	s = newSequence()
	s.beginRun()
	c.Assert(errors.Is(s.advance(7), errLargerStep), qt.IsTrue)
	s.accept()
	c.Check(s.lastID(""), qt.Equals, "7")
	c.Assert(s.advance(11), qt.IsNil)
	c.Check(s.lastID(""), qt.Equals, "11")
}

// TestFirstEventBegun checks that a stream may consist of the event that an earlier run
// has begun, whatever its ID.
func TestFirstEventBegun(t *testing.T) {
	var s eventSequence
	s.breakOff(eventFields{hasID: true, id: 0})
	s.beginRun()
	qt.Assert(t, s.advance(0), qt.IsNil)
	qt.Check(t, s.checkEnd(), qt.IsNil)
}

// TestBegunEvents checks which parts of an event show that a run has begun one.
func TestBegunEvents(t *testing.T) {
	for _, x := range []struct {
		part  string
		shows bool
	}{
		{"id: 3\nda", true},
		{"id: 3", true},
		{"id:", true},
		{"data: a\n", true},
		{"weight-versions: 4", true},
		{"", false},
		{"i", false},
		{"id: 2\nda", false},
		{": alive", false},
		{"retry: 1", false},
		{"internal error", false},
		{"failed: twice", false},
		{"failed\nid: 3", false},
	} {
		var s eventSequence
		r := eventReader{source: io.MultiReader(strings.NewReader("id: 1\n\nid: 2\n\n"+x.part), iotest.ErrReader(errors.New("broken"))), sequence: &s}
		for err := error(nil); err == nil; {
			_, err = r.next()
		}
		r.breakOff()
		qt.Check(t, s.checkEnd() != nil, qt.Equals, x.shows, qt.Commentf("%q", x.part))
	}
}
