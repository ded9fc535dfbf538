package revision_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/revision"
)

// A store that was restored gives out lower numbers again, in a later era.
func ExampleRevision_Before() {
	lost := revision.Revision{Era: 1, Number: 180}
	restored := revision.Revision{Era: 2, Number: 120}
	fmt.Println(lost.Before(restored), lost.Max(restored))
	// Output: true 2/120
}

func TestCompare(t *testing.T) {
	ordered := []revision.Revision{{}, {Number: 7}, {Era: 1, Number: 5}, {Era: 1, Number: 6}, {Era: 2, Number: 1}}
	for i, a := range ordered {
		for k, b := range ordered {
			qt.Check(t, a.Before(b), qt.Equals, i < k, qt.Commentf("%v, %v", a, b))
			qt.Check(t, a.After(b), qt.Equals, i > k, qt.Commentf("%v, %v", a, b))
			qt.Check(t, a.Max(b), qt.Equals, ordered[max(i, k)])
		}
	}
	qt.Check(t, revision.Revision{}.IsZero(), qt.IsTrue)
	qt.Check(t, revision.Revision{Era: 1}.IsZero(), qt.IsFalse)
}
