package object

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOddVMCostsNoOther guards against one entry of the VM list that costs the others,
// among which are the peers.
func TestOddVMCostsNoOther(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, odd := range map[string]string{
		"nested deeply":   `{"Name":"odd","Address":"10.0.0.9:1","Extra":` + deep + `}`,
		"of another type": `{"Name":7,"Address":"10.0.0.9:1"}`,
		"without address": `{"Name":"odd"}`,
		"no object":       `[1]`,
		"null":            `null`,
	} {
		t.Run(name, func(t *testing.T) {
			text := `{"VMs":[{"Name":"a","Address":"10.0.0.1:1"},` + odd + `,{"Name":"b","Address":"10.0.0.2:1"}]}`
			var l VMList
			qt.Assert(t, l.Decode([]byte(text)), qt.IsNil)
			var names []string
			for _, v := range l.VMs {
				if v.Name != "odd" {
					names = append(names, v.Name)
				}
			}
			qt.Check(t, names, qt.DeepEquals, []string{"a", "b"})
			qt.Check(t, l.Malformed+len(l.VMs), qt.Equals, 3)
		})
	}
	var l VMList
	qt.Check(t, l.Decode([]byte(`{"VMs":[{"Name":"a"`)), qt.IsNotNil)
}
