//go:build race

package gateway

// raceEnabled reports whether the race detector is enabled.
const raceEnabled = true
