package buffer

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

func TestReadAll(t *testing.T) {
	const max = 3 * BlockBytes
	for _, x := range []struct {
		name         string
		size, stated int
		want         error
	}{
		{"empty", 0, 0, nil},
		{"small", 10, 10, nil},
		{"one block", BlockBytes, BlockBytes, nil},
		{"no length", 2*BlockBytes + 1, -1, nil},
		{"largest", max, max, nil},
		{"too large", max + 1, -1, ErrTooLarge},
		{"too large as stated", 0, max + 1, ErrTooLarge},
	} {
		t.Run(x.name, func(t *testing.T) {
			text := strings.Repeat("x", x.size)
			for _, source := range []*strings.Reader{strings.NewReader(text), strings.NewReader(text)} {
				got, err := ReadAll(iotest.HalfReader(source), int64(x.stated), max, &Share{})
				qt.Assert(t, errors.Is(err, x.want), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, err != nil || string(got) == text, qt.IsTrue)
			}
		})
	}
}

// TestMessagesShareBudget guards against memory that grows with the number of large
// messages, against small ones that fail because of these, and against a budget that
// isn't given back.
func TestMessagesShareBudget(t *testing.T) {
	c := qt.New(t)
	b := &Budget{Max: 10 * BlockBytes}
	large := bytes.Repeat([]byte("x"), 4*BlockBytes)
	var mu sync.Mutex
	var reading sync.WaitGroup
	read, exhausted := 0, 0
	shares := make([]Share, 20)
	for i := range shares {
		shares[i].Budget = b
		reading.Go(func() {
			_, err := ReadAll(bytes.NewReader(large), -1, 1<<20, &shares[i])
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				read++
			case errors.Is(err, ErrExhausted):
				exhausted++
			}
			if b.Used() > b.Max {
				t.Errorf("%d bytes are taken of %d", b.Used(), b.Max)
			}
		})
	}
	reading.Wait()
	c.Check(read+exhausted, qt.Equals, len(shares))
	c.Check(exhausted > 0, qt.IsTrue)
	small := Share{Budget: b}
	_, err := ReadAll(bytes.NewReader(large[:FreeBytes/2]), -1, 1<<20, &small)
	c.Check(err, qt.IsNil)
	small.Release()
	for i := range shares {
		shares[i].Release()
	}
	c.Check(b.Used(), qt.Equals, int64(0))
}

// TestShareMayBeReleasedByOthers guards against a race between the reader of a message and
// whoever ends its exchange, and against memory that is taken after the release and never
// given back.
func TestShareMayBeReleasedByOthers(t *testing.T) {
	c := qt.New(t)
	b := &Budget{Max: 100 * BlockBytes}
	share := &Share{Budget: b}
	var running sync.WaitGroup
	running.Go(func() {
		for size := int64(0); size < 50*BlockBytes && share.Resize(size) == nil; size += BlockBytes {
			continue
		}
	})
	for range 2 {
		running.Go(share.Release)
	}
	running.Wait()
	c.Check(b.Used(), qt.Equals, int64(0))
	c.Check(share.Resize(10*BlockBytes), qt.Equals, ErrExhausted)
	(*Share)(nil).Release()
}
