package declaration_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageport.example/pkg/declaration"
)

const validSet = `
[[Models]]
Name = "m"
Layers = 12
MaxOutputTokens = 100

[[Pipelines]]
Name = "p"
Model = "m"

[[Upstreams]]
Name = "u"
Owner = "graz"
Zone = "graz-a"
Kind = "engine"
Address = "10.0.0.1:80"
Slots = 4
LayersPerSecond = 100.0
[[Upstreams.Held]]
Model = "m"
From = 0
To = 12

[[Upstreams]]
Name = "s"
Owner = "graz"
Zone = "graz-a"
Kind = "service"
Address = "10.0.0.2:80"
Slots = 4

[[Loans]]
Name = "l"
Owner = "graz"
Upstreams = ["u"]
Pipelines = ["p"]
Accepted = true
UnconfirmedUse = "5s"

[[Services]]
Name = "desk"
Upstreams = ["s"]
Timeout = "2s"
[[Services.Operations]]
Method = "POST"
Path = "/bookings"
`

func TestParseFaults(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown key", "Layers = 12", "Layer = 12", "set.toml:4: Models.Layer: unknown key"},
		{"syntax", "Layers = 12", "Layers = ", "set.toml:4"},
		{"wrong type", "Layers = 12", `Layers = "x"`, "set.toml:4"},
		{"duration without unit", `"5s"`, `5`, "set.toml:38"},
		{"bad name", `Name = "p"`, `Name = "P 1"`, `set.toml:8: Pipelines[0].Name: "P 1" is no name`},
		{"unknown model", `Model = "m"`, `Model = "x"`, `set.toml:9: Pipelines[0].Model: no model "x"`},
		{"range too long", "To = 12", "To = 13", "Held: [0, 13) is no range"},
		{"no slots", "Slots = 4", "Slots = 0", "Upstreams[0].Slots: must be at least 1"},
		{"host name", "10.0.0.1:80", "localhost:80", `Upstreams[0].Address: "localhost:80" is no address`},
		{"same address", "10.0.0.2:80", "10.0.0.1:80", `is the address of upstream "u" too`},
		{"another's upstream", `Owner = "graz"
Upstreams`, `Owner = "wien"
Upstreams`, `upstream "u" belongs to "graz", not to "wien"`},
		{"unknown pipeline", `["p"]`, `["x"]`, `Loans[0].Pipelines: no pipeline "x"`},
		{"engine as service", `["s"]`, `["u"]`, `upstream "u" is no plain service`},
		{"no timeout", `"2s"`, `"0s"`, "Services[0].Timeout: must be above 0"},
		{"bad path", `"/bookings"`, `"bookings"`, `"bookings" is no path`},
		{"declared twice", "[[Pipelines]]", "[[Pipelines]]\nName = \"p\"\nModel = \"m\"\n[[Pipelines]]", `"p" is declared already`},
	}
	_, faults := declaration.Parse([]declaration.File{{Name: "set.toml", Text: []byte(validSet)}})
	qt.Assert(t, faults, qt.HasLen, 0)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(validSet, tt.old, tt.new, 1)
			qt.Assert(t, text, qt.Not(qt.Equals), validSet)
			_, faults := declaration.Parse([]declaration.File{{Name: "set.toml", Text: []byte(text)}})
			qt.Assert(t, len(faults) > 0, qt.IsTrue)
			var messages []string
			for _, f := range faults {
				messages = append(messages, f.String())
			}
			joined := strings.Join(messages, "\n")
			qt.Check(t, strings.Contains(joined, tt.want), qt.IsTrue, qt.Commentf("no %q in:\n%s", tt.want, joined))
		})
	}
}

// TestEveryFaultIsListed checks that all faults of a set in two files are reported,
// each with its file and line.
func TestEveryFaultIsListed(t *testing.T) {
	_, faults := declaration.Parse([]declaration.File{
		{Name: "a.toml", Text: []byte("[[Models]]\nName = \"m\"\nLayers = 0\nMaxOutputTokens = 0\n")},
		{Name: "b.toml", Text: []byte("[[Models]]\nName = \"n\"\nLayers = 1\nMaxOutputTokens = 1\n\n[[Models]]\nName = \"m\"\nLayers = 1\nMaxOutputTokens = 1\n")},
	})
	var lines []string
	for _, f := range faults {
		lines = append(lines, fmt.Sprintf("%s:%d", f.File, f.Line))
	}
	qt.Check(t, lines, qt.DeepEquals, []string{"b.toml:7", "a.toml:3", "a.toml:4"})
}

// TestExamples checks that the files under examples are valid.
func TestExamples(t *testing.T) {
	paths, err := filepath.Glob("../../examples/set/*.toml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(paths) > 0, qt.IsTrue)
	var files []declaration.File
	for _, path := range paths {
		text, err := os.ReadFile(path)
		qt.Assert(t, err, qt.IsNil)
		files = append(files, declaration.File{Name: path, Text: text})
	}
	_, faults := declaration.Parse(files)
	qt.Check(t, faults, qt.HasLen, 0)
}

func ExampleParse() {
	_, faults := declaration.Parse([]declaration.File{{
		Name: "models.toml",
		Text: []byte("[[Models]]\nName = \"m\"\nLayers = 0\nMaxOutputTokens = 8\n"),
	}})
	for _, f := range faults {
		fmt.Println(f)
	}
	// Output: models.toml:3: Models[0].Layers: must be 1 to 1024
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSet))
	f.Add([]byte("[[Loans]]\nUpstreams = [\"x\"]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, faults := declaration.Parse([]declaration.File{{Name: "f", Text: text}})
		if len(faults) > 0 {
			return
		}
		formatted, err := declaration.Format(set)
		if err != nil {
			t.Fatal(err)
		}
		if _, faults := declaration.Parse([]declaration.File{{Name: "g", Text: formatted}}); len(faults) > 0 {
			t.Fatalf("formatted set is invalid: %v\n%s", faults, formatted)
		}
	})
}
