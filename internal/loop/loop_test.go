package loop

import (
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func causePanic(*int) { panic("broken") }

// TestPanicIsReported guards against a process that ends without a word about the
// function that caused it.
func TestPanicIsReported(t *testing.T) {
	c := qt.New(t)
	l := New[int]()
	var value any
	var stack string
	l.OnPanic = func(v any, s []byte) { value, stack = v, string(s) }
	l.Send(causePanic)
	c.Assert(func() { _ = l.Run(context.Background()) }, qt.PanicMatches, "broken")
	c.Check(value, qt.Equals, "broken")
	c.Check(strings.Contains(stack, "causePanic"), qt.IsTrue, qt.Commentf("%s", stack))
	c.Check(l.Do(func(*int) {}), qt.IsFalse)
}
