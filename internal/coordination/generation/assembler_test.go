package generation

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovageport.example/internal/protocol/engine"
	"lovageport.example/pkg/verdict"
)

var testRoute = []engine.Span{{Upstream: "a", From: 0, To: 4}, {Upstream: "b", From: 4, To: 9}, {Upstream: "c", From: 9, To: 12}}

func startedAssembler(t testing.TB) *Assembler {
	a := &Assembler{Request: "r", Layers: 12, MaxTokens: 3}
	qt.Assert(t, a.StartAttempt("r-1", testRoute), qt.IsNil)
	return a
}

func tokenFrame(index int) engine.Frame {
	return engine.Frame{Kind: engine.Token, Request: "r", Attempt: "r-1", Index: index, Text: "w", Trace: testRoute}
}

func TestAcceptRejectsInvalidFrame(t *testing.T) {
	span := func(u string, from, to int) engine.Span { return engine.Span{Upstream: u, From: from, To: to} }
	tests := []struct {
		name    string
		change  func(*engine.Frame)
		atFault string
	}{
		{"another request", func(f *engine.Frame) { f.Request = "x" }, ""},
		{"unknown attempt", func(f *engine.Frame) { f.Attempt = "r-9" }, ""},
		{"token omitted", func(f *engine.Frame) { f.Index = 1 }, ""},
		{"no trace", func(f *engine.Frame) { f.Trace = nil }, "a"},
		{"stage omitted", func(f *engine.Frame) { f.Trace = []engine.Span{testRoute[0], testRoute[2]} }, "b"},
		{"stage repeated", func(f *engine.Frame) {
			f.Trace = []engine.Span{testRoute[0], testRoute[0], testRoute[1], testRoute[2]}
		}, "b"},
		{"out of order", func(f *engine.Frame) { f.Trace = []engine.Span{testRoute[1], testRoute[0], testRoute[2]} }, "a"},
		{"overlap", func(f *engine.Frame) { f.Trace = []engine.Span{testRoute[0], span("b", 3, 9), testRoute[2]} }, "b"},
		{"last stage omitted", func(f *engine.Frame) { f.Trace = testRoute[:2] }, "c"},
		{"too many layers", func(f *engine.Frame) {
			f.Trace = append(append([]engine.Span{}, testRoute...), span("d", 12, 13))
		}, "c"},
		{"another upstream", func(f *engine.Frame) { f.Trace = []engine.Span{testRoute[0], span("x", 4, 9), testRoute[2]} }, "b"},
		{"end too early", func(f *engine.Frame) { f.Kind = engine.Done; f.Tokens = 3 }, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := startedAssembler(t)
			f := tokenFrame(0)
			tt.change(&f)
			_, err := a.Accept(&f)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Check(t, verdict.Of(err).Upstream, qt.Equals, tt.atFault)
			qt.Check(t, a.Tokens(), qt.HasLen, 0)
		})
	}
}

func TestStartAttemptRejectsIncompleteRoute(t *testing.T) {
	for _, route := range [][]engine.Span{nil, testRoute[:2], testRoute[1:], {testRoute[0], testRoute[2]}} {
		a := &Assembler{Request: "r", Layers: 12, MaxTokens: 3}
		qt.Check(t, a.StartAttempt("r-1", route), qt.IsNotNil)
	}
}

// TestLateFramesDoNotChangeAnswer delivers random frames of the current and
// earlier attempts. The answer must always be a prefix of the correct one, and
// the frames of earlier attempts must be counted as dropped.
func TestLateFramesDoNotChangeAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &Assembler{Request: "r", Layers: 12, MaxTokens: 8}
		texts := []string{"t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7"}
		attempts := []string{"r-1", "r-2", "r-3"}
		current := 0
		if err := a.StartAttempt(attempts[0], testRoute); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(0, 60).Draw(t, "frames") {
			if current < 2 && rapid.IntRange(0, 9).Draw(t, "retry") == 0 {
				current++
				if err := a.StartAttempt(attempts[current], testRoute); err != nil {
					t.Fatal(err)
				}
			}
			from := rapid.IntRange(0, current).Draw(t, "from")
			index := min(len(a.Tokens())+rapid.IntRange(-1, 1).Draw(t, "index"), len(texts)-1)
			if index < 0 {
				continue
			}
			f := engine.Frame{Kind: engine.Token, Request: "r", Attempt: attempts[from], Index: index, Text: texts[index], Trace: testRoute}
			dropped := a.Dropped
			event, _ := a.Accept(&f)
			if event == Accepted && from != current {
				t.Fatal("accepted a token of an earlier attempt")
			}
			if from != current && a.Dropped != dropped+1 {
				t.Fatal("late frame not counted as dropped")
			}
		}
		for i, text := range a.Tokens() {
			if text != texts[i] {
				t.Fatalf("token %d of the answer is %q", i, text)
			}
		}
	})
}
