package placement

import (
	"fmt"
	"testing"
)

// BenchmarkPlan plans again for engines that hold their layers, which is what a
// gateway does when anything has changed.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{1, 2, 4} {
		upstreams := append(engines("wien", n, 3*n, 8*n), engines("graz", n, 6*n, 5*n)...)
		placed := carryOut(upstreams, Plan(testEngine(), upstreams, everywhere))
		b.Run(fmt.Sprint(len(placed)), func(b *testing.B) {
			for b.Loop() {
				Plan(testEngine(), placed, everywhere)
			}
		})
	}
}
