package withdrawal

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var noon = time.Date(2026, 2, 14, 12, 0, 0, 0, time.UTC)

func TestLiftedWithdrawalStaysLifted(t *testing.T) {
	var r Set
	w := Withdrawal{ID: "c1/u", Upstream: "u", At: noon}
	qt.Check(t, r.Withdraw(w), qt.IsTrue)
	old := r.All()
	qt.Check(t, r.Lift("u", noon), qt.IsTrue)
	qt.Check(t, r.Merge(old), qt.IsFalse)
	qt.Check(t, r.Active(), qt.HasLen, 0)
	qt.Check(t, r.Withdraw(Withdrawal{ID: "c2/u", Upstream: "u", At: noon}), qt.IsTrue)
	qt.Check(t, r.Active(), qt.DeepEquals, map[string]bool{"u": true})
	r.Prune(noon.Add(Retention + time.Second))
	qt.Check(t, r.All(), qt.HasLen, 1)
}

// TestMergeConverges guards against sets that differ although they have received
// the same withdrawals and lifts, in whatever order and however often they were
// merged, and against merging that brings a lifted withdrawal back into force.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []string{"a/x", "b/x", "c/y", "d/y", "e/z"}
		sets := make([]Set, 3)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			r := &sets[rapid.IntRange(0, 2).Draw(t, "at")]
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				r.Withdraw(Withdrawal{ID: id, Upstream: id[2:], At: noon})
			case 1:
				r.Lift(id[2:], noon)
			case 2:
				r.Merge(sets[rapid.IntRange(0, 2).Draw(t, "with")].All())
			}
		}
		active := make(map[string]bool)
		for i := range sets {
			for name := range sets[i].Active() {
				active[name] = true
			}
		}
		for range 2 {
			for i := range sets {
				for j := range sets {
					sets[i].Merge(sets[j].All())
				}
			}
		}
		for i := range sets {
			if sets[i].Digest() != sets[0].Digest() {
				t.Fatal("sets differ after merging")
			}
			for name := range sets[i].Active() {
				if !active[name] {
					t.Fatalf("%s is withdrawn but was active in no set before", name)
				}
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`[{"ID":"a/x","Upstream":"x"}]`))
	f.Add([]byte(`[{}]`))
	f.Fuzz(func(t *testing.T, value []byte) {
		all, err := Decode(value)
		if err != nil {
			return
		}
		var r Set
		r.Merge(all)
		again, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		back, err := Decode(again)
		if err != nil {
			t.Fatal(err)
		}
		var other Set
		other.Merge(back)
		if r.Digest() != other.Digest() {
			t.Fatal("decoded set differs from the encoded one")
		}
	})
}
