package guard

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func causePanic() { panic("broken") }

// TestPanicIsContained guards against a panic that goes on, or of which nobody is told.
func TestPanicIsContained(t *testing.T) {
	c := qt.New(t)
	var reported []string
	g := Guard{OnPanic: func(request string, e *PanicError) { reported = append(reported, request+": "+e.Error()) }}
	c.Check(g.Run("r1", func() {}), qt.IsNil)
	for _, x := range []Guard{{}, g} {
		var e *PanicError
		c.Assert(errors.As(x.Run("r2", causePanic), &e), qt.IsTrue)
		c.Check(strings.Contains(string(e.Stack), "causePanic"), qt.IsTrue, qt.Commentf("%s", e.Stack))
	}
	c.Check(reported, qt.DeepEquals, []string{"r2: guard: panic: broken"})
}
