package program

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestFreeAddressesDiffer checks that no two programs get the same address.
func TestFreeAddressesDiffer(t *testing.T) {
	seen := make(map[string]bool)
	for range 2000 {
		address, err := FreeAddress()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, seen[address], qt.IsFalse, qt.Commentf("%s twice", address))
		seen[address] = true
	}
}
