package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/routing"
)

// TestOlderTableDoesNotReplaceNewer guards against two sources of the configuration
// whose tables reach the control loop in the wrong order.
func TestOlderTableDoesNotReplaceNewer(t *testing.T) {
	s := newState(t)
	s.setTable(&routing.Table{Version: 3})
	s.setTable(&routing.Table{Version: 2})
	qt.Check(t, s.table.Version, qt.Equals, int64(3))
}
