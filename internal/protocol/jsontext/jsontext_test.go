package jsontext_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/protocol/jsontext"
)

func ExampleObject_Entries() {
	list, _ := jsontext.Parse([]byte(`{"Entries":[{"Name":"a"},{"Name":{"odd":[]}},{"Name":"c"}],"Version":3}`))
	for _, entry := range list.Entries("Entries") {
		fmt.Println(string(entry.Text()))
	}
	fmt.Println(list.Int("Version"))
	// Output:
	// {"Name":"a"}
	// {"Name":{"odd":[]}}
	// {"Name":"c"}
	// 3 true
}

// TestOnlyOddEntriesAreTakenApart guards against believing a text that is no JSON, or
// only a part of one.
func TestOnlyOddEntriesAreTakenApart(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, x := range []struct {
		name, text  string
		odd, object bool
	}{
		{"deep", `{"Entries":[{"Name":` + deep + `}]}`, true, true},
		{"another type", `{"Entries":[{"Name":3}]}`, true, true},
		{"cut", `{"Entries":[{"Name":"a"}`, false, false},
		{"deep and cut after a bracket", `{"Entries":[{"Name":` + deep + `}`, true, false},
		{"brackets in texts", `{"Entries":[{"Name":` + deep + `,"}\"}]{":"\\"}]}`, true, true},
		{"deep and cut", `{"Entries":[{"Name":` + deep + `},`, true, false},
		{"no JSON", `not found`, false, false},
		{"empty", ``, false, false},
	} {
		var out struct{ Entries []struct{ Name string } }
		err := json.Unmarshal([]byte(x.text), &out)
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, jsontext.IsOddEntry(err), qt.Equals, x.odd, qt.Commentf(x.name))
		_, ok := jsontext.Parse([]byte(x.text))
		qt.Check(t, ok, qt.Equals, x.object, qt.Commentf(x.name))
	}
	qt.Check(t, jsontext.IsOddEntry(nil), qt.IsFalse)
}
