package gateway

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/state/fleet"
)

// logCoverage logs each zone whose engines have come to hold all layers of a
// service, or no longer do.
func (s *state) logCoverage(now time.Duration) {
	covered := make(map[string]bool)
	for name, p := range s.pools {
		if p.layers == nil {
			continue
		}
		held := make(map[string][]fleet.Range)
		for _, h := range p.layers.Holders {
			held[h.Upstream.Zone] = append(held[h.Upstream.Zone], h.Upstream.Held)
		}
		for zone, ranges := range held {
			covered[name+" "+zone] = covers(ranges, p.service.Engine.Layers)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(covered)) {
		if before, known := s.covered[key]; !known || before != covered[key] {
			s.log.Info("layers of a zone", zap.String("zone", key), zap.Bool("whole", covered[key]), zap.Duration("list_age", now-s.listedAt))
		}
	}
	s.covered = covered
}

// covers reports whether ranges together contain all layers. It sorts ranges.
func covers(ranges []fleet.Range, layers int) bool {
	slices.SortFunc(ranges, func(a, b fleet.Range) int { return a.From - b.From })
	covered := 0
	for _, r := range ranges {
		if r.From > covered {
			return false
		}
		covered = max(covered, r.To)
	}
	return covered >= layers
}
