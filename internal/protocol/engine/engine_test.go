package engine

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCoversLayersRefusesGapsAndOverlaps(t *testing.T) {
	span := func(from, to int) Span { return Span{Upstream: "u", From: from, To: to} }
	tests := []struct {
		name  string
		trace []Span
		want  bool
	}{
		{"whole", []Span{span(0, 12)}, true},
		{"two", []Span{span(0, 5), span(5, 12)}, true},
		{"none", nil, false},
		{"gap", []Span{span(0, 5), span(6, 12)}, false},
		{"overlap", []Span{span(0, 6), span(5, 12)}, false},
		{"out of order", []Span{span(5, 12), span(0, 5)}, false},
		{"empty span", []Span{span(0, 0), span(0, 12)}, false},
		{"short", []Span{span(0, 11)}, false},
		{"long", []Span{span(0, 13)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { qt.Check(t, CoversLayers(tt.trace, 12), qt.Equals, tt.want) })
	}
}

func FuzzDecodeFrame(f *testing.F) {
	f.Add([]byte(`{"Kind":"token","Request":"r","Attempt":"a","Index":1,"Text":"w","Trace":[{"Upstream":"u","From":0,"To":4}]}`))
	f.Add([]byte(`{"Kind":"heartbeat","Request":"r","Attempt":"a","Upstream":"u","Load":{"Running":1}}`))
	f.Add([]byte(`{"Kind":"done","Request":"r","Attempt":"a","Tokens":-1}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		frame, err := DecodeFrame(line)
		if err != nil {
			return
		}
		if frame.Index < 0 || frame.Tokens < 0 || len(frame.Trace) > MaxRouteStages {
			t.Fatalf("invalid frame accepted: %+v", frame)
		}
		if _, err := json.Marshal(frame); err != nil {
			t.Fatal(err)
		}
	})
}
