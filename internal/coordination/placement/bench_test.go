package placement

import (
	"fmt"
	"testing"
)

// BenchmarkPlan computes a plan for engines that already hold their layers, as a
// gateway does after each change.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{1, 2, 4} {
		upstreams := append(engines("wien", n, 3*n, 8*n), engines("graz", n, 6*n, 5*n)...)
		placed := applyPlan(upstreams, Plan(testEngine(), upstreams, allZones))
		b.Run(fmt.Sprint(len(placed)), func(b *testing.B) {
			for b.Loop() {
				Plan(testEngine(), placed, allZones)
			}
		})
	}
}
